package org.crocusgrade.core.dispatch;

import java.time.Duration;

/**
 * Learned run times of a service's requests.
 *
 * <p>Run times are kept as weights in buckets of equal ratio, 4 to a doubling. When the weights
 * reach {@link #WINDOW} all are halved, so that old runs fade. Quantiles come from the buckets; the
 * mean leaves out what lies above eight times the 95% quantile, so that one run that hangs cannot
 * turn away work for minutes. Until {@link #ENOUGH} runs were seen the declared time stands for the
 * mean, but {@link #known()} is false and nothing may be refused on the strength of it.
 */
final class RunTimes {
    /** Runs after which the learned time counts. */
    static final int ENOUGH = 8;

    private static final int WINDOW = 512;
    private static final int PER_DOUBLING = 4;
    private static final int BUCKETS = 40 * PER_DOUBLING;
    private static final double OUTLIER_RATIO = 8.0;
    private static final double TAIL = 0.95;
    private static final double NEARLY = 0.99;
    private static final double HORIZON_TOLERANCE = 1.2;
    private static final long REFRESH = 64;
    private static final double LN_2 = Math.log(2);

    /** The middle of each bucket, in nanoseconds. */
    private static final double[] VALUES = new double[BUCKETS];

    /** The upper end of each bucket, in nanoseconds. */
    private static final double[] UPPER = new double[BUCKETS];

    static {
        for (int i = 0; i < BUCKETS; i++) {
            VALUES[i] = value(i);
            UPPER[i] = value(i + 0.5);
        }
    }

    private final double[] weights = new double[BUCKETS];
    private final double declaredNanos;
    private double total;
    private long seen;
    private long meanSeen;
    private double meanNanos;
    private double enoughNanos;
    private double enoughHorizonNanos;
    private long enoughSeen;

    RunTimes(Duration declared) {
        declaredNanos = Math.max(1, declared.toNanos());
        meanNanos = declaredNanos;
    }

    /** Adds the time of one run. */
    void add(long nanos) {
        weights[bucket(nanos)] += 1;
        total += 1;
        seen++;
        if (total < WINDOW) {
            return;
        }
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= 2;
        }
        total /= 2;
    }

    /** Returns whether enough runs were seen to judge by. */
    boolean known() {
        return seen >= ENOUGH;
    }

    /** Returns the mean without outliers, or the declared time. */
    double meanNanos() {
        if (!known()) {
            return declaredNanos;
        }
        if (seen - meanSeen >= Math.min(1 + seen / 16, REFRESH)) {
            meanNanos = computeMean();
            meanSeen = seen;
        }
        return meanNanos;
    }

    /** Returns a quantile, or the declared time. */
    double quantileNanos(double share) {
        return known() ? quantile(share) : declaredNanos;
    }

    /**
     * Returns how much time a run should have left to be worth its slot when other work waits for
     * it.
     *
     * <p>A run that is given the time t succeeds with the probability P(run &le; t) and takes the
     * slot for E[min(run, t)], or for E[run] when it cannot be cut. The quotient is what a slot
     * yields when it is spent on such runs. The time returned is the shortest whose yield is nearly
     * the best that any time up to the horizon gives. When run times differ little this is a high
     * quantile. When a few runs are longer than any deadline it stays at the time of the others, so
     * that these few do not turn away all.
     *
     * @param horizonNanos the most time that requests have
     * @param cut whether a run is cancelled at its deadline
     */
    double enoughNanos(double horizonNanos, boolean cut) {
        if (!known()) {
            return 0;
        }
        boolean near =
                horizonNanos <= enoughHorizonNanos * HORIZON_TOLERANCE
                        && horizonNanos * HORIZON_TOLERANCE >= enoughHorizonNanos;
        if (!near || seen - enoughSeen >= Math.min(seen / 4, REFRESH)) {
            enoughNanos = computeEnough(horizonNanos, cut);
            enoughHorizonNanos = horizonNanos;
            enoughSeen = seen;
        }
        return enoughNanos;
    }

    private double computeEnough(double horizonNanos, boolean cut) {
        double[] yields = new double[BUCKETS];
        double done = 0;
        double work = 0;
        double best = 0;
        int last = 0;
        for (int i = 0; i < BUCKETS && (last == 0 || UPPER[i] <= horizonNanos); i++) {
            done += weights[i];
            work += weights[i] * VALUES[i];
            double time = cut ? work + (total - done) * UPPER[i] : 1;
            yields[i] = done / time;
            best = Math.max(best, yields[i]);
            last = done > 0 ? i : 0;
        }
        for (int i = 0; i <= last; i++) {
            if (yields[i] >= NEARLY * best && yields[i] > 0) {
                return UPPER[i];
            }
        }
        return UPPER[last];
    }

    private double quantile(double share) {
        double left = share * total;
        for (int i = 0; i < BUCKETS; i++) {
            if (weights[i] > 0 && left <= weights[i]) {
                return value(i + left / weights[i] - 0.5);
            }
            left -= weights[i];
        }
        return value(BUCKETS - 1);
    }

    private double computeMean() {
        double cap = OUTLIER_RATIO * quantile(TAIL);
        double sum = 0;
        double count = 0;
        for (int i = 0; i < BUCKETS; i++) {
            double value = VALUES[i];
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
        int i = (int) Math.round(Math.log(nanos) / LN_2 * PER_DOUBLING);
        return Math.min(BUCKETS - 1, i);
    }

    private static double value(double bucket) {
        return Math.pow(2, bucket / PER_DOUBLING);
    }
}
