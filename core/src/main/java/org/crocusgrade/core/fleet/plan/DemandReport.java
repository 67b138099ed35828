package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The demand of one daemon's callers at one moment.
 *
 * @param from the daemon
 * @param pools the demand for each pool
 * @param workers the requests that the daemon runs on each worker, for workers with at least one
 */
public record DemandReport(DaemonId from, List<PoolDemand> pools, List<WorkerRuns> workers) {
    /** Copies the lists. */
    public DemandReport {
        Objects.requireNonNull(from);
        pools = List.copyOf(pools);
        workers = List.copyOf(workers);
    }

    /**
     * The demand for one pool.
     *
     * @param pool the pool
     * @param offeredSlots the slots needed to serve the arrivals: arrival rate times run time
     * @param queuedSlots the work that is queued, in slot-seconds
     * @param runningSlots the slots in use
     */
    public record PoolDemand(
            PoolId pool, double offeredSlots, double queuedSlots, double runningSlots) {
        /** Checks the ranges. */
        public PoolDemand {
            Objects.requireNonNull(pool);
            if (!(offeredSlots >= 0) || !(queuedSlots >= 0) || !(runningSlots >= 0)) {
                throw new IllegalArgumentException("demand must not be negative");
            }
        }
    }

    /**
     * The requests that run on one worker.
     *
     * @param worker the worker
     * @param running the number of requests
     * @param drainTime the time until the last of them is expected to end
     */
    public record WorkerRuns(WorkerId worker, int running, Duration drainTime) {
        /** Checks the ranges. */
        public WorkerRuns {
            Objects.requireNonNull(worker);
            if (running < 0 || drainTime.isNegative()) {
                throw new IllegalArgumentException(
                        "running requests and drain time must not be negative");
            }
        }
    }
}
