package org.crocusgrade.core.fleet.plan;

import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * Detects the surges of one pool from samples of its demand, and keeps statistics of them: the
 * quiet and the peak level, the durations, and the periods between starts. Times are in seconds
 * from an origin that the caller chooses.
 *
 * <p>A pool surges while its demand is in the upper part of its recent range. The ends of the range
 * decay slowly towards the demand, so that a pattern that has ended is forgotten. A sample is
 * assumed to average the demand since the previous one: if half of that time is quiet and half is
 * surge, the sample shows half of the usual rise. Starts and ends are therefore interpolated
 * between samples by the fraction of the usual rise that they show.
 */
final class SurgeHistory {
    /** Fraction of the range above which a surge starts. */
    private static final double START_THRESHOLD = 0.5;

    /**
     * Fraction of the range above which a surge starts if the sample covers at least {@code
     * MANY_SUBMISSIONS}: between surges so many do not come by chance, and a sample that covers
     * quiet time too shows only a part of the rise.
     */
    private static final double EARLY_START_THRESHOLD = 0.2;

    private static final double MANY_SUBMISSIONS = 5;

    /** Minimum range with so many submissions, as a fraction of the usual one. */
    private static final double EARLY_RANGE_FACTOR = 0.5;

    /** Fraction of the range at or below which a surge ends. */
    private static final double END_THRESHOLD = 0.4;

    /** Minimum range for a surge, as a multiple of the low end. */
    private static final double MIN_RANGE_FACTOR = 1.5;

    /** Fraction of the distance to the demand by which the ends of the range decay in a second. */
    private static final double RANGE_DECAY_PER_SECOND = 0.002;

    /** Weight of a new sample in the moving average of the quiet level. */
    private static final double LEVEL_WEIGHT = 0.3;

    /**
     * Time covered by a sample that the caller takes from a sliding window. A sample taken sooner
     * after the start includes quiet time, so it says nothing about the level of the surge.
     */
    private static final double SAMPLE_WINDOW_SECONDS = 1.2;

    /**
     * Minimum duration of a surge whose demand counts as measured. Arrivals at the beginning of a
     * surge may pause for a second, which ends it for the samples.
     */
    private static final double MIN_MEASURED_SECONDS = 2.5;

    /**
     * A surge ends once its demand has been low for as long as this many submissions usually take
     * to arrive: with fewer, a pause is likely to be chance.
     */
    private static final double PAUSE_SUBMISSIONS = 4;

    /** Maximum time for which the demand must have been low. */
    private static final double MAX_PAUSE_SECONDS = 1.0;

    /** Time after its end within which a surge that seems to start is the same one. */
    private static final double RESUME_SECONDS = 2.0;

    /** Submissions that must have arrived in a surge for it to count as much as earlier ones. */
    private static final double PRIOR_SUBMISSIONS = 6;

    /** Submissions in a sample for it to count as much as what was known before. */
    private static final double SAMPLE_PRIOR_SUBMISSIONS = 8;

    private final double minRange;
    private final RecentValues periods = new RecentValues();
    private final RecentValues durations = new RecentValues();
    private final RecentValues peaks = new RecentValues();
    private double low = Double.NaN;
    private double high = Double.NaN;
    private double quietLevel = Double.NaN;
    private double last = Double.NaN;
    private double lastTime = Double.NaN;
    private double start = Double.NaN;
    private double surgeSum;
    private int surgeCount;
    private boolean surging;
    private boolean startKnown;
    private double belowSince = Double.NaN;
    private double endedAt = Double.NEGATIVE_INFINITY;
    private double pauseSum;
    private int pauseCount;
    private double submissionSum;
    private int submissionSamples;
    private double lastSubmissions;

    /**
     * Creates a history without samples.
     *
     * @param minRange minimum range of the demand for a surge, in the unit of the demand
     */
    SurgeHistory(double minRange) {
        this.minRange = minRange;
    }

    /**
     * Restores a history from a snapshot, whose ages are relative to {@code now}. Durations and
     * periods are not part of the snapshot and start empty.
     */
    SurgeHistory(double minRange, SurgeSequenceSnapshot.PoolSnapshot snapshot, double now) {
        this.minRange = minRange;
        low = snapshot.low();
        high = snapshot.high();
        quietLevel = low;
        surging = snapshot.surging();
        last = surging ? high : low;
        lastTime = now;
        startKnown = !Double.isNaN(snapshot.sinceStart());
        start = now - snapshot.sinceStart();
        if (!Double.isNaN(snapshot.peak())) {
            peaks.add(snapshot.peak());
        }
    }

    SurgeSequenceSnapshot.PoolSnapshot snapshot(
            ServiceId pool, Optional<ServiceId> follower, double now) {
        double peak = peaks.size() > 0 ? peaks.median() : peak();
        return new SurgeSequenceSnapshot.PoolSnapshot(
                pool, low, high, peak, now - start(), surging, follower);
    }

    /** Returns whether there is any sample. */
    boolean hasRange() {
        return !Double.isNaN(lastTime);
    }

    /**
     * Adds a sample; one that is not later than the last is ignored. Returns whether a surge
     * started with it.
     */
    boolean observe(double at, double level) {
        return observe(at, level, Double.POSITIVE_INFINITY);
    }

    /**
     * Adds a sample; one that is not later than the last is ignored. Returns whether a surge
     * started with it.
     *
     * @param submissions how many submissions the sample covers: the fewer, the more it varies by
     *     chance
     */
    boolean observe(double at, double level, double submissions) {
        if (Double.isNaN(lastTime)) {
            low = level;
            high = level;
            quietLevel = level;
            last = level;
            lastTime = at;
            return false;
        }
        if (at <= lastTime) {
            return false;
        }
        double time = at - lastTime;
        double decay = Math.min(1, RANGE_DECAY_PER_SECOND * time);
        low = Math.min(level, low + (level - low) * decay);
        double known = surging ? peak() : low;
        lastSubmissions = submissions;
        double likely = known + (level - known) * weight(submissions, SAMPLE_PRIOR_SUBMISSIONS);
        high = Math.max(likely, high + (likely - high) * decay);
        boolean started = false;
        if (!surging && isAboveThreshold(level, startThreshold(submissions))) {
            started = beginSurge(at, time, level);
        } else if (surging) {
            continueSurge(at, time, level);
        }
        if (!surging) {
            quietLevel += (level - quietLevel) * LEVEL_WEIGHT;
        }
        last = level;
        lastTime = at;
        return started;
    }

    private static double startThreshold(double submissions) {
        return isMany(submissions) ? EARLY_START_THRESHOLD : START_THRESHOLD;
    }

    private static boolean isMany(double submissions) {
        return !Double.isInfinite(submissions) && submissions >= MANY_SUBMISSIONS;
    }

    private void continueSurge(double at, double time, double level) {
        if (!Double.isInfinite(lastSubmissions)) {
            submissionSum += lastSubmissions;
            submissionSamples++;
        }
        boolean isLow = !isAboveThreshold(level, END_THRESHOLD);
        if (isLow && Double.isNaN(belowSince)) {
            belowSince = at - time * (1 - riseFraction(level));
        }
        if (isLow && at - belowSince >= pauseSeconds()) {
            endSurge(at, level);
            return;
        }
        if (at - start >= SAMPLE_WINDOW_SECONDS) {
            pauseSum += level;
            pauseCount++;
        }
        if (!isLow) {
            belowSince = Double.NaN;
            surgeSum += pauseSum;
            surgeCount += pauseCount;
            clearPause();
        }
    }

    /** Returns how long the demand must be low for the surge to have ended. */
    private double pauseSeconds() {
        double perSecond = submissionsPerSecond();
        return Double.isNaN(perSecond)
                ? 0
                : Math.min(MAX_PAUSE_SECONDS, PAUSE_SUBMISSIONS / perSecond);
    }

    /** Returns the rate at which submissions arrive in the surge; NaN if it is not known. */
    private double submissionsPerSecond() {
        return submissionSamples == 0
                ? Double.NaN
                : Math.max(1, submissionSum) / submissionSamples / SAMPLE_WINDOW_SECONDS;
    }

    /** Ends the surge if its demand is low now: another pool's surge is evidence of the end. */
    void endIfLow(double at) {
        if (surging && !Double.isNaN(belowSince)) {
            endSurge(at, last);
        }
    }

    private void clearPause() {
        pauseSum = 0;
        pauseCount = 0;
    }

    private boolean isAboveThreshold(double level, double threshold) {
        double range = Math.max(level, high) - low;
        double least = isMany(lastSubmissions) ? minRange * EARLY_RANGE_FACTOR : minRange;
        return range >= least && range >= low * MIN_RANGE_FACTOR && level > low + range * threshold;
    }

    /** Begins a surge; returns false if it is the one that seemed to have ended. */
    private boolean beginSurge(double at, double time, double level) {
        surging = true;
        belowSince = Double.NaN;
        clearPause();
        if (at - endedAt < RESUME_SECONDS) {
            return false;
        }
        double newStart = at - time * (riseFraction(level) + riseFraction(last));
        if (startKnown) {
            periods.add(newStart - start);
        }
        start = newStart;
        startKnown = true;
        surgeSum = 0;
        surgeCount = 0;
        submissionSum = 0;
        submissionSamples = 0;
        quietLevel = Math.min(quietLevel, last);
        return true;
    }

    private void endSurge(double at, double level) {
        if (startKnown) {
            durations.add(Math.max(0, belowSince - start));
        }
        if (surgeCount > 0 && belowSince - start >= MIN_MEASURED_SECONDS) {
            peaks.add(surgeSum / surgeCount);
        }
        surging = false;
        endedAt = at;
        belowSince = Double.NaN;
        clearPause();
        quietLevel = level;
    }

    private static double weight(double submissions, double prior) {
        return Double.isInfinite(submissions) ? 1 : submissions / (submissions + prior);
    }

    /** Returns how far a level is from the quiet level to the usual peak, between 0 and 1. */
    private double riseFraction(double level) {
        double top = peaks.size() > 0 ? peaks.median() : high;
        double rise = top - quietLevel;
        if (rise <= 0) {
            return 0;
        }
        return Math.max(0, Math.min(1, (level - quietLevel) / rise));
    }

    /** Returns whether a surge has ended, so that the demand of a whole one is known. */
    boolean hasEndedSurge() {
        return peaks.size() > 0;
    }

    boolean surging() {
        return surging;
    }

    /** Returns the start of the latest surge, or NaN before the first. */
    double start() {
        return startKnown ? start : Double.NaN;
    }

    /**
     * Returns the demand of a surge: the mean over the samples of the current one that cover no
     * quiet time, weighed against earlier surges by the submissions that have arrived. Before there
     * is any, returns the latest sample or the median of earlier surges, whichever is higher;
     * between surges, returns that median; before the first surge, NaN.
     */
    double peak() {
        if (surging && surgeCount > 0) {
            double mean = surgeSum / surgeCount;
            if (peaks.size() == 0 || submissionSamples == 0) {
                return mean;
            }
            double seen = submissionsPerSecond() * Math.max(0, lastTime - start);
            double usual = peaks.median();
            return usual + (mean - usual) * weight(seen, PRIOR_SUBMISSIONS);
        }
        if (peaks.size() > 0) {
            return surging ? Math.max(last, peaks.median()) : peaks.median();
        }
        return surging ? last : Double.NaN;
    }

    /**
     * Returns the rate at which work arrives in a surge: its peak, or more if the latest sample is
     * higher, as far as the number of submissions in it shows that this is not chance.
     */
    double rate(double peak) {
        double excess = Math.max(0, last - peak);
        return peak + excess * weight(lastSubmissions, SAMPLE_PRIOR_SUBMISSIONS);
    }

    double quietLevel() {
        return surging && durations.size() == 0 ? low : quietLevel;
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
