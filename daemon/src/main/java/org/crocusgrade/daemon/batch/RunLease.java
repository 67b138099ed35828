package org.crocusgrade.daemon.batch;

import java.util.OptionalLong;

/**
 * The lease of all runs of a worker, and the worker's clock, by which it is counted.
 *
 * <p>The clock of the worker is known from its last answer. It may be 2% slow, so a lease that ends
 * at U on a clock that showed C in an answer received at time t has ended at the latest at t + (U -
 * C) / 0.98. When that time has passed without an answer, the worker no longer executes any run.
 */
final class RunLease {
    /**
     * Duration of the lease of runs, in milliseconds: long enough for a takeover while the last
     * poll was open.
     */
    private static final long DURATION_MILLIS = 4800;

    /** Slowest rate of a worker's clock that the interface of the platform allows. */
    private static final double SLOWEST_CLOCK = 0.98;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchRuntime runtime;
    private boolean calibrated;
    private long clockMillis;
    private long clockReadNanos;
    private long untilMillis;

    RunLease(BatchRuntime runtime) {
        this.runtime = runtime;
    }

    /** Records the worker's clock, as shown in an answer that has just come. */
    void calibrate(long clock) {
        calibrated = true;
        clockMillis = clock;
        clockReadNanos = runtime.clock().nanoTime();
    }

    /** Extends the lease from now on; returns its end, on the worker's clock. */
    long extend() {
        long passed = (runtime.clock().nanoTime() - clockReadNanos) / NANOS_PER_MILLI;
        long most = runtime.limits().maxRunLease().toMillis();
        long until = clockMillis + passed + Math.min(DURATION_MILLIS, most);
        untilMillis = Math.max(untilMillis, until);
        return untilMillis;
    }

    /** Extends the lease if the worker's clock is known; returns its end then. */
    OptionalLong extendIfCalibrated() {
        return calibrated ? OptionalLong.of(extend()) : OptionalLong.empty();
    }

    /** Returns whether the lease has certainly ended, unless the worker answers meanwhile. */
    boolean isExpired() {
        return calibrated && runtime.clock().nanoTime() - endNanos() > 0;
    }

    /** Returns when the lease ends at the latest, on the monotonic clock. */
    long endNanos() {
        double left = (untilMillis - clockMillis) / SLOWEST_CLOCK;
        return clockReadNanos + (long) (left * NANOS_PER_MILLI);
    }
}
