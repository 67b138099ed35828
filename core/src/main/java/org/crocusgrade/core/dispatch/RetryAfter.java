package org.crocusgrade.core.dispatch;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tells the caller of a refused request when to ask again: after the time by which the request was
 * late, and spread over the time that the slots need for all that were refused lately, so that they
 * do not all come back at once.
 */
final class RetryAfter {
    private static final double LEAST_NANOS = 1e7;
    private static final double MOST_NANOS = 3e10;

    private final RateMeter refusals = new RateMeter();
    private final UniformRandomProvider random;

    RetryAfter(UniformRandomProvider random) {
        this.random = random;
    }

    /** Counts a refusal. */
    void refused(long now) {
        refusals.mark(now);
    }

    /** Returns the time to wait, where one slot comes free in each interval. */
    Duration after(double lateNanos, double intervalNanos, long now) {
        double spread = refusals.count(now) * intervalNanos * random.nextDouble();
        double nanos = Math.max(LEAST_NANOS, lateNanos + spread);
        return Duration.ofNanos((long) Math.min(MOST_NANOS, nanos));
    }
}
