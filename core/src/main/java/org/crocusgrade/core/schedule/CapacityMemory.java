package org.crocusgrade.core.schedule;

/**
 * Remembers what a pool could do lately.
 *
 * <p>Load: hosts come and go between pools within seconds, and are away for maintenance. Right
 * before they come back a pool looks as if it could do next to nothing; a refusal by that measure
 * would send callers away for minutes. So half of the most that the pool had within some seconds
 * counts as well.
 */
final class CapacityMemory {
    /** How fast the most is forgotten: half of it in about seven seconds. */
    private static final double DECAY_PER_SECOND = 0.1;

    /** The part of the most that counts. */
    private static final double COUNTED_PART = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private double most;
    private long lastNanos;

    /** Takes what the pool has and returns what may be counted on. */
    double countedOn(double cores, long now) {
        double passed = Math.max(0, now - lastNanos) / NANOS_PER_SECOND;
        most = Math.max(cores, most * Math.exp(-DECAY_PER_SECOND * passed));
        lastNanos = now;
        return Math.max(cores, most * COUNTED_PART);
    }
}
