package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The lease of all runs of a worker, and the worker's clock, by which it is counted.
 *
 * <p>The clock of the worker is known from its last answer. It may be 2% slow, so a lease that ends
 * at U on a clock that showed C in an answer received at time t has ended at the latest at t + (U -
 * C) / 0.98. When that time has passed without an answer, the worker no longer executes any run.
 *
 * <p>Until its first answer, the worker may have carried out calls for its former incarnation. The
 * time that they carry is of that incarnation's clock, which may be far ahead, so the lease may be
 * as long as the worker grants. From the first answer on it rejects them (see {@link
 * FencingTokens}). For example, a worker that grants 6000 ms answers for the first time when its
 * clock shows 100, and is then told to continue until 4900. Its runs may last until 6100.
 */
final class RunLease {
    /**
     * Duration of the lease of runs, in milliseconds: long enough for a takeover while the last
     * poll was open.
     */
    private static final long DURATION_MILLIS = 4800;

    /** Slowest rate of a worker's clock that the interface of the platform allows. */
    private static final double SLOWEST_CLOCK = 0.98;

    /** Longest time in which an answer to an order arrives, in milliseconds. */
    private static final long MAX_ANSWER_MILLIS = 1000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchRuntime runtime;
    private boolean calibrated;
    private boolean reported;
    private long answeredCallNanos;
    private long clockMillis;
    private long clockReadNanos;
    private long untilMillis;
    private long formerUntilMillis;
    private OptionalLong lastCallNanos = OptionalLong.empty();

    RunLease(BatchRuntime runtime) {
        this.runtime = runtime;
    }

    /** Returns how long the lease lasts that a worker grants for a call without a known time. */
    static Duration longest(PlatformLimits limits) {
        return Duration.ofNanos((long) (limits.maxRunLease().toNanos() / SLOWEST_CLOCK));
    }

    /**
     * Records the clock that the answer to an order shows; returns whether it is of the incarnation
     * that has reported. The clock of the next incarnation starts anew, at 0 or anywhere. If it
     * starts at 0, it shows no more than the time since the last call that this one has answered;
     * elsewhere it agrees with the clock of this one only by a rare chance. A reading that does not
     * go with the last one is ignored.
     *
     * @param sentNanos when the order was sent, on the monotonic clock
     */
    boolean onOrderAnswer(long clock, long sentNanos) {
        if (!calibrated) {
            calibrate(clock);
            return false;
        }
        if (Math.abs(clockMillis + passed() - clock) > MAX_ANSWER_MILLIS + drift()) {
            return false;
        }
        long sinceCall = (runtime.clock().nanoTime() - answeredCallNanos) / NANOS_PER_MILLI;
        boolean same = reported && clock * SLOWEST_CLOCK > sinceCall;
        if (same) {
            onAnswered(sentNanos);
        }
        calibrate(clock);
        return same;
    }

    /**
     * Records the clock that a report of this incarnation shows.
     *
     * @param requestedNanos when the report was requested, on the monotonic clock
     */
    void onReport(long clock, long requestedNanos) {
        onAnswered(requestedNanos);
        calibrate(clock);
    }

    private void onAnswered(long sentNanos) {
        if (!reported || sentNanos - answeredCallNanos > 0) {
            answeredCallNanos = sentNanos;
        }
        reported = true;
    }

    /** Returns the time since the last reading, in milliseconds. */
    private long passed() {
        return (runtime.clock().nanoTime() - clockReadNanos) / NANOS_PER_MILLI;
    }

    /** Returns by how much the clock may have fallen behind since the last reading. */
    private long drift() {
        return (long) Math.ceil(passed() * (1 - SLOWEST_CLOCK));
    }

    /** Records that a call is sent that extends the lease of the incarnation that it reaches. */
    void recordCall() {
        lastCallNanos = OptionalLong.of(runtime.clock().nanoTime());
    }

    /** Returns when a call that extends the lease was last sent, on the monotonic clock. */
    OptionalLong lastCallNanos() {
        return lastCallNanos;
    }

    private void calibrate(long clock) {
        if (!calibrated) {
            formerUntilMillis = clock + runtime.limits().maxRunLease().toMillis();
        }
        calibrated = true;
        clockMillis = clock;
        clockReadNanos = runtime.clock().nanoTime();
    }

    /** Extends the lease from now on; returns its end, on the worker's clock. */
    long extend() {
        long most = runtime.limits().maxRunLease().toMillis();
        long until = clockMillis + passed() + Math.min(DURATION_MILLIS, most);
        untilMillis = Math.max(untilMillis, until);
        recordCall();
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
        double left = (Math.max(untilMillis, formerUntilMillis) - clockMillis) / SLOWEST_CLOCK;
        return clockReadNanos + (long) (left * NANOS_PER_MILLI);
    }
}
