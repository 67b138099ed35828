package org.crocusgrade.core.schedule;

/**
 * Estimates the capacity of a pool, in any one unit, from its recent peak.
 *
 * <p>Load: hosts move between pools within seconds, and are unavailable during maintenance. Just
 * before they return, the pool has hardly any capacity; a decision based on that alone would reject
 * callers for minutes. So at least half of the decaying peak of the last seconds counts as
 * capacity.
 */
final class RecentCapacity {
    /** Decay rate of the peak: its half-life is about seven seconds. */
    private static final double DECAY_PER_SECOND = 0.1;

    /** The fraction of the peak that counts as capacity. */
    private static final double PEAK_FRACTION = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private double peak;
    private long lastNanos;

    /** Records the current capacity and returns the estimate. */
    double usable(double present, long now) {
        double passed = Math.max(0, now - lastNanos) / NANOS_PER_SECOND;
        peak = Math.max(present, peak * Math.exp(-DECAY_PER_SECOND * passed));
        lastNanos = now;
        return Math.max(present, peak * PEAK_FRACTION);
    }
}
