package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * The demand of a pool, as reported by its owner. Memory is expressed in the cores of hosts that
 * have as much memory, so that whichever of both is larger binds.
 *
 * @param pool the pool
 * @param longRunningCores the cores that long-running tasks use
 * @param batchCores the cores that tasks of other submissions use or, if ready to start, wait for
 * @param waitingCores the part of {@code batchCores} that tasks wait for
 * @param backlog the remaining work of those other submissions, in core-seconds; a task that runs
 *     counts in full until it ends
 * @param longRunningMemory the memory that long-running tasks use, in cores
 * @param batchMemory the memory that the tasks of {@code batchCores} use or wait for, in cores
 * @param lackingHosts the hosts that the pool needs beside its present ones, because none of those
 *     has room for some task, whatever the sums above say
 */
public record PoolNeed(
        ServiceId pool,
        double longRunningCores,
        double batchCores,
        double waitingCores,
        double backlog,
        double longRunningMemory,
        double batchMemory,
        int lackingHosts) {
    /** Checks the fields. */
    public PoolNeed {
        Objects.requireNonNull(pool);
    }

    /** Creates a need whose memory does not bind. */
    public PoolNeed(
            ServiceId pool,
            double longRunningCores,
            double batchCores,
            double waitingCores,
            double backlog) {
        this(pool, longRunningCores, batchCores, waitingCores, backlog, 0, 0, 0);
    }

    /**
     * Returns the cores of the hosts that hold the long-running tasks and other tasks on the given
     * number of cores; those take as much memory for each core as the present ones.
     */
    double hostCores(double cores) {
        if (batchCores <= 0) {
            return Math.max(longRunningCores + cores, longRunningMemory + batchMemory);
        }
        double memoryOfCore = batchMemory / batchCores;
        return Math.max(longRunningCores + cores, longRunningMemory + cores * memoryOfCore);
    }

    /** Returns whether memory rather than processors limits what the present hosts can hold. */
    public boolean isMemoryBound() {
        return longRunningMemory + batchMemory > longRunningCores + batchCores;
    }

    /**
     * Returns the part of the backlog that waits because the pool has too few hosts, in
     * core-seconds. By Little's law the backlog of a pool that starts every task at once is the
     * rate of arrival times the time in the system; that part is not late. It is the fraction of
     * the backlog that corresponds to running tasks.
     */
    double waitingWork() {
        return batchCores <= 0 ? 0 : backlog * Math.min(1, waitingCores / batchCores);
    }
}
