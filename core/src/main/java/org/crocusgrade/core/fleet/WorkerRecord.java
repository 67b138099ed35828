package org.crocusgrade.core.fleet;

import java.util.Objects;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One worker's entry in its rack's record.
 *
 * @param worker its id
 * @param pool its current pool; changed only by its owner, after all of its slot leases are
 *     returned
 * @param target the pool that it is to serve; changed only by the planner
 * @param state its service state, set by its owner
 */
public record WorkerRecord(WorkerId worker, PoolId pool, PoolId target, WorkerState state) {
    /** Checks the fields. */
    public WorkerRecord {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(target);
        Objects.requireNonNull(state);
    }
}
