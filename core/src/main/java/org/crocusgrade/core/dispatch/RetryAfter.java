package org.crocusgrade.core.dispatch;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes when the caller of a refused request should retry: after the time by which the request
 * would have been late, plus a random part of the time in which the slots could serve all recently
 * refused requests, so that these do not all return at once.
 */
final class RetryAfter {
    private static final double MIN_NANOS = 1e7;
    private static final double MAX_NANOS = 3e10;

    private final RateMeter refusals = new RateMeter();
    private final UniformRandomProvider random;

    RetryAfter(UniformRandomProvider random) {
        this.random = random;
    }

    void recordRefusal(long now) {
        refusals.mark(now);
    }

    /** Returns the time to wait, given the mean interval between slots becoming free. */
    Duration after(double lateNanos, double intervalNanos, long now) {
        double spread = refusals.count(now) * intervalNanos * random.nextDouble();
        double nanos = Math.max(MIN_NANOS, lateNanos + spread);
        return Duration.ofNanos((long) Math.min(MAX_NANOS, nanos));
    }
}
