package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * What one daemon's callers ask for at one moment.
 *
 * @param from the daemon
 * @param pools the demand for each pool
 * @param workers what the daemon runs, for workers on which it runs anything
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
     * @param offeredSlots arrival rate times run time
     * @param queuedSlots the slot-seconds of work that waits
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
     * What runs on one worker.
     *
     * @param worker the worker
     * @param running the requests
     * @param drainTime how long the longest may still take
     */
    public record WorkerRuns(WorkerId worker, int running, Duration drainTime) {
        /** Checks the ranges. */
        public WorkerRuns {
            Objects.requireNonNull(worker);
            if (running < 0 || drainTime.isNegative()) {
                throw new IllegalArgumentException("running work must not be negative");
            }
        }
    }
}
