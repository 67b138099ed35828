package org.crocusgrade.core.fleet;

import java.util.Objects;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One worker's entry in its rack's record.
 *
 * @param worker its id
 * @param pool the pool it is in; changed only by its owner, after every slot lease is back
 * @param target the pool it shall be in; changed only by the planner
 * @param state what its owner lets happen on it
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
