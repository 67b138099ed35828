package org.crocusgrade.core.dispatch;

/** Sums event weights with exponential decay, which gives a rate over about the last second. */
final class RateMeter {
    private static final double TIME_CONSTANT_NANOS = 1e9;

    private double count;
    private long lastNanos;

    void mark(long now) {
        mark(1, now);
    }

    /** Adds an event with a weight. */
    void mark(double weight, long now) {
        count = count(now) + weight;
        lastNanos = now;
    }

    /** Returns the decayed sum of weights. */
    double count(long now) {
        if (count == 0) {
            return 0;
        }
        return count * Math.exp(-Math.max(0, now - lastNanos) / TIME_CONSTANT_NANOS);
    }

    /** Returns the rate per nanosecond. */
    double perNano(long now) {
        return count(now) / TIME_CONSTANT_NANOS;
    }
}
