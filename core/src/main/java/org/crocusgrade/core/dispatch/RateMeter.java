package org.crocusgrade.core.dispatch;

/** Sums events with exponential decay, as a rate over about the last second. */
final class RateMeter {
    private static final double TIME_CONSTANT_NANOS = 1e9;

    private double count;
    private long lastNanos;

    /** Counts one event. */
    void mark(long now) {
        mark(1, now);
    }

    /** Adds an event of some weight. */
    void mark(double weight, long now) {
        count = count(now) + weight;
        lastNanos = now;
    }

    /** Returns the decayed count. */
    double count(long now) {
        if (count == 0) {
            return 0;
        }
        return count * Math.exp(-Math.max(0, now - lastNanos) / TIME_CONSTANT_NANOS);
    }

    /** Returns events for each nanosecond. */
    double perNano(long now) {
        return count(now) / TIME_CONSTANT_NANOS;
    }
}
