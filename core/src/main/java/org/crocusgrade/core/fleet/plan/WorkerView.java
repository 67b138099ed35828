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
 * The state of one worker in a {@link FleetView}.
 *
 * @param worker its id
 * @param rack its rack
 * @param zone its availability zone
 * @param pool the pool that it is in
 * @param target the pool that it is to serve; differs from {@code pool} while it moves
 * @param state its state as set by its owner
 * @param host the state of its host as reported by the platform
 * @param slots the number of requests that it can run concurrently
 * @param running the number of requests running on it
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
            throw new IllegalArgumentException(
                    "worker must have at least one slot, running and drain time at least 0");
        }
    }

    /** Returns whether its host is up and its owner has set it to serving. */
    public boolean available() {
        return state == WorkerState.SERVING && host == HostEntry.State.LIVE;
    }

    /** Returns whether it is moving to another pool. */
    public boolean moving() {
        return !pool.equals(target);
    }

    /** Returns whether it is available to its pool and not moving away. */
    public boolean serves() {
        return available() && !moving();
    }

    /**
     * Returns whether it will serve its target pool: its host is up, and it is serving or draining
     * for the move.
     */
    public boolean arriving() {
        return moving()
                && host == HostEntry.State.LIVE
                && (state == WorkerState.SERVING || state == WorkerState.DRAINING);
    }
}
