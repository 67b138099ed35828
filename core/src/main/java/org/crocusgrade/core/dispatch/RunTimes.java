package org.crocusgrade.core.dispatch;

import java.time.Duration;

/**
 * Learned run times of a service's requests.
 *
 * <p>Run times are kept as weights in buckets of equal ratio, 4 per doubling. When the total weight
 * reaches {@link #WINDOW} all weights are halved, so that old runs lose influence. Quantiles come
 * from the buckets; the mean leaves out run times above eight times the 95% quantile, so that one
 * run that hangs cannot cause refusals for minutes. Until {@link #MIN_SAMPLES} runs were measured
 * the declared time stands in for the mean, but {@link #hasEnoughSamples()} is false and no request
 * may be refused because of it.
 */
final class RunTimes {
    /** The number of runs from which the learned times are used. */
    static final int MIN_SAMPLES = 8;

    private static final int WINDOW = 512;
    private static final int BUCKETS_PER_DOUBLING = 4;
    private static final int BUCKETS = 40 * BUCKETS_PER_DOUBLING;
    private static final double OUTLIER_RATIO = 8.0;
    private static final double OUTLIER_BASE_QUANTILE = 0.95;
    private static final double NEAR_BEST_RATIO = 0.99;
    private static final double HORIZON_TOLERANCE = 1.2;
    private static final long REFRESH_SAMPLES = 64;
    private static final double LN_2 = Math.log(2);

    /** The middle of each bucket, in nanoseconds. */
    private static final double[] MIDDLES = new double[BUCKETS];

    /** The upper end of each bucket, in nanoseconds. */
    private static final double[] UPPER = new double[BUCKETS];

    static {
        for (int i = 0; i < BUCKETS; i++) {
            MIDDLES[i] = value(i);
            UPPER[i] = value(i + 0.5);
        }
    }

    private final double[] weights = new double[BUCKETS];
    private final double declaredNanos;
    private double total;
    private long samples;
    private long samplesAtMean;
    private double meanNanos;
    private double requiredNanos;
    private double requiredHorizonNanos;
    private long samplesAtRequired;

    RunTimes(Duration declared) {
        declaredNanos = Math.max(1, declared.toNanos());
        meanNanos = declaredNanos;
    }

    void add(long nanos) {
        weights[bucket(nanos)] += 1;
        total += 1;
        samples++;
        if (total < WINDOW) {
            return;
        }
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= 2;
        }
        total /= 2;
    }

    /** Returns whether enough runs were measured to base decisions on. */
    boolean hasEnoughSamples() {
        return samples >= MIN_SAMPLES;
    }

    /** Returns the mean without outliers; the declared time before enough runs were measured. */
    double meanNanos() {
        if (!hasEnoughSamples()) {
            return declaredNanos;
        }
        if (samples - samplesAtMean >= Math.min(1 + samples / 16, REFRESH_SAMPLES)) {
            meanNanos = computeMean();
            samplesAtMean = samples;
        }
        return meanNanos;
    }

    /** Returns a quantile; the declared time before enough runs were measured. */
    double quantileNanos(double share) {
        return hasEnoughSamples() ? quantile(share) : declaredNanos;
    }

    /**
     * Returns how much time a run must have left to be worth its slot while other requests wait for
     * that slot; 0 before enough runs were measured.
     *
     * <p>A run that is given the time t succeeds with the probability P(run &le; t) and holds the
     * slot for E[min(run, t)], or for E[run] if it cannot be cancelled. The quotient is the yield
     * of a slot that is spent on such runs. The time returned is the shortest whose yield is nearly
     * the best of all times up to the horizon. When run times differ little this is a high
     * quantile. When a few runs are longer than any deadline it stays at the run time of the
     * others, so that these few do not cause all requests to be refused.
     *
     * @param horizonNanos the longest time to the deadline that recent requests had
     * @param cancelled whether a run is cancelled at its deadline
     */
    double requiredNanos(double horizonNanos, boolean cancelled) {
        if (!hasEnoughSamples()) {
            return 0;
        }
        boolean similarHorizon =
                horizonNanos <= requiredHorizonNanos * HORIZON_TOLERANCE
                        && horizonNanos * HORIZON_TOLERANCE >= requiredHorizonNanos;
        if (!similarHorizon
                || samples - samplesAtRequired >= Math.min(samples / 4, REFRESH_SAMPLES)) {
            requiredNanos = computeRequired(horizonNanos, cancelled);
            requiredHorizonNanos = horizonNanos;
            samplesAtRequired = samples;
        }
        return requiredNanos;
    }

    private double computeRequired(double horizonNanos, boolean cancelled) {
        double[] yields = new double[BUCKETS];
        double finished = 0;
        double work = 0;
        double best = 0;
        int last = 0;
        for (int i = 0; i < BUCKETS && (last == 0 || UPPER[i] <= horizonNanos); i++) {
            finished += weights[i];
            work += weights[i] * MIDDLES[i];
            double time = cancelled ? work + (total - finished) * UPPER[i] : 1;
            yields[i] = finished / time;
            best = Math.max(best, yields[i]);
            last = finished > 0 ? i : 0;
        }
        for (int i = 0; i <= last; i++) {
            if (yields[i] >= NEAR_BEST_RATIO * best && yields[i] > 0) {
                return UPPER[i];
            }
        }
        return UPPER[last];
    }

    private double quantile(double share) {
        double remaining = share * total;
        for (int i = 0; i < BUCKETS; i++) {
            if (weights[i] > 0 && remaining <= weights[i]) {
                return value(i + remaining / weights[i] - 0.5);
            }
            remaining -= weights[i];
        }
        return value(BUCKETS - 1);
    }

    private double computeMean() {
        double cap = OUTLIER_RATIO * quantile(OUTLIER_BASE_QUANTILE);
        double sum = 0;
        double count = 0;
        for (int i = 0; i < BUCKETS; i++) {
            double value = MIDDLES[i];
            if (value <= cap) {
                sum += weights[i] * value;
                count += weights[i];
            }
        }
        return sum / count;
    }

    private static int bucket(long nanos) {
        if (nanos <= 1) {
            return 0;
        }
        int i = (int) Math.round(Math.log(nanos) / LN_2 * BUCKETS_PER_DOUBLING);
        return Math.min(BUCKETS - 1, i);
    }

    private static double value(double bucket) {
        return Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
    }
}
