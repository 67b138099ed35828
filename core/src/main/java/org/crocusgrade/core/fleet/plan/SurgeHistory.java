package org.crocusgrade.core.fleet.plan;

import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * What was learned of one pool's demand: whether it surges now, its two levels, and how long its
 * surges last and how far apart they start. All times are seconds since the learner's first digest.
 *
 * <p>A pool surges while its demand is in the upper part of the range seen lately. The range's ends
 * move slowly towards the demand, so that a habit that ends is forgotten. A start is placed within
 * the digest's time by how much of the usual rise the digest shows, since a digest that covers half
 * quiet and half surge shows half of the rise.
 */
final class SurgeHistory {
    /** Part of the range above which a surge starts. */
    private static final double START_PART = 0.5;

    /** Part of the range below which a surge ends. */
    private static final double END_PART = 0.4;

    /** Least range that counts as a surge, as a multiple of the low end. */
    private static final double MIN_RANGE_FACTOR = 1.5;

    /** Part of the distance to the demand that the range's ends move in a second. */
    private static final double RANGE_DECAY_PER_SECOND = 0.002;

    /** Weight of a new value in the two levels. */
    private static final double LEVEL_WEIGHT = 0.3;

    private final double minRange;
    private final RecentValues periods = new RecentValues();
    private final RecentValues durations = new RecentValues();
    private final RecentValues peaks = new RecentValues();
    private double low = Double.NaN;
    private double high = Double.NaN;
    private double quiet = Double.NaN;
    private double last = Double.NaN;
    private double lastAt = Double.NaN;
    private double start = Double.NaN;
    private double surgeSum;
    private int surgeCount;
    private boolean surging;
    private boolean startKnown;

    /**
     * Makes a history without any demand.
     *
     * @param minRange least range that counts as a surge, in the demand's unit
     */
    SurgeHistory(double minRange) {
        this.minRange = minRange;
    }

    /** Goes on from what another has learned; it may have been a while ago. */
    SurgeHistory(double minRange, TurnSnapshot.PoolSnapshot memory, double now) {
        this.minRange = minRange;
        low = memory.low();
        high = memory.high();
        quiet = low;
        surging = memory.surging();
        last = surging ? high : low;
        lastAt = now;
        startKnown = !Double.isNaN(memory.sinceStart());
        start = now - memory.sinceStart();
        if (!Double.isNaN(memory.peak())) {
            peaks.add(memory.peak());
        }
    }

    TurnSnapshot.PoolSnapshot memory(ServiceId pool, Optional<ServiceId> follower, double now) {
        double peak = peaks.size() > 0 ? peaks.median() : peak();
        return new TurnSnapshot.PoolSnapshot(
                pool, low, high, peak, now - start(), surging, follower);
    }

    boolean hasRange() {
        return !Double.isNaN(lastAt);
    }

    /** Takes one digest in; returns whether a surge started with it. */
    boolean observe(double at, double level) {
        if (Double.isNaN(lastAt)) {
            low = level;
            high = level;
            quiet = level;
            last = level;
            lastAt = at;
            return false;
        }
        if (at <= lastAt) {
            return false;
        }
        double time = at - lastAt;
        double decay = Math.min(1, RANGE_DECAY_PER_SECOND * time);
        low = Math.min(level, low + (level - low) * decay);
        high = Math.max(level, high + (level - high) * decay);
        boolean started = false;
        if (!surging && surgeLevel(level, START_PART)) {
            begin(at, time, level);
            started = true;
        } else if (surging && !surgeLevel(level, END_PART)) {
            end(at, time, level);
        }
        if (surging && !started) {
            surgeSum += level;
            surgeCount++;
        }
        if (!surging) {
            quiet += (level - quiet) * LEVEL_WEIGHT;
        }
        last = level;
        lastAt = at;
        return started;
    }

    private boolean surgeLevel(double level, double part) {
        double range = high - low;
        return range >= minRange && range >= low * MIN_RANGE_FACTOR && level > low + range * part;
    }

    private void begin(double at, double time, double level) {
        double newStart = at - time * (riseOf(level) + riseOf(last));
        if (startKnown) {
            periods.add(newStart - start);
        }
        start = newStart;
        startKnown = true;
        surging = true;
        surgeSum = 0;
        surgeCount = 0;
        quiet = Math.min(quiet, last);
    }

    private void end(double at, double time, double level) {
        if (startKnown) {
            durations.add(Math.max(0, at - time * (1 - riseOf(level)) - start));
        }
        if (surgeCount > 0) {
            peaks.add(surgeSum / surgeCount);
        }
        surging = false;
        quiet = level;
    }

    private double riseOf(double level) {
        double top = peaks.size() > 0 ? peaks.median() : high;
        double rise = top - quiet;
        if (rise <= 0) {
            return 0;
        }
        return Math.max(0, Math.min(1, (level - quiet) / rise));
    }

    boolean surging() {
        return surging;
    }

    /** Returns when the latest surge started, or NaN. */
    double start() {
        return startKnown ? start : Double.NaN;
    }

    /** Returns the demand of this surge, of earlier ones if this one is too new, or NaN. */
    double peak() {
        if (surging && surgeCount > 0) {
            return surgeSum / surgeCount;
        }
        if (peaks.size() > 0) {
            return surging ? Math.max(last, peaks.median()) : peaks.median();
        }
        return surging ? last : Double.NaN;
    }

    double quiet() {
        return surging && durations.size() == 0 ? low : quiet;
    }

    double last() {
        return last;
    }

    RecentValues periods() {
        return periods;
    }

    RecentValues durations() {
        return durations;
    }
}
