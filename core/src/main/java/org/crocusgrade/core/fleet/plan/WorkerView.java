package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * One worker as the planner sees it.
 *
 * @param worker its id
 * @param rack its rack
 * @param zone its availability zone
 * @param pool the pool it is in
 * @param target the pool it shall be in
 * @param state what its owner lets happen on it
 * @param host the platform's view of it
 * @param slots the requests it runs at once
 * @param running the requests running on it
 * @param drainTime the time until its longest request is expected to end
 * @param lastMove when its target last changed, or {@link Instant#EPOCH}
 */
public record WorkerView(
        WorkerId worker,
        RackId rack,
        AvailabilityZone zone,
        PoolId pool,
        PoolId target,
        WorkerState state,
        HostEntry.State host,
        int slots,
        int running,
        Duration drainTime,
        Instant lastMove) {
    /** Checks the fields. */
    public WorkerView {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(rack);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(target);
        Objects.requireNonNull(state);
        Objects.requireNonNull(host);
        Objects.requireNonNull(lastMove);
        if (slots <= 0 || running < 0 || drainTime.isNegative()) {
            throw new IllegalArgumentException("sizes of a worker must not be negative");
        }
    }

    /** Returns whether it is up and its owner lets it serve. */
    public boolean available() {
        return state == WorkerState.SERVING && host == HostEntry.State.LIVE;
    }

    /** Returns whether it is on its way to another pool. */
    public boolean moving() {
        return !pool.equals(target);
    }

    /** Returns whether it is capacity of its pool now and stays so. */
    public boolean serves() {
        return available() && !moving();
    }

    /** Returns whether it will be capacity of its target: up, and only drained for its move. */
    public boolean arriving() {
        return moving()
                && host == HostEntry.State.LIVE
                && (state == WorkerState.SERVING || state == WorkerState.DRAINING);
    }
}
