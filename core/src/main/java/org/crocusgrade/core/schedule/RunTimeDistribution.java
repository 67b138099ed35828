package org.crocusgrade.core.schedule;

import java.util.OptionalDouble;

/**
 * A decaying histogram of the ratios of run times to their predictions.
 *
 * <p>Runs that were stopped before their end count as having lasted at least as long as they did
 * (censored observations; the survival function is the product-limit estimate). Without them, the
 * distribution would lose its tail as soon as long runs are stopped.
 */
final class RunTimeDistribution {
    private static final int BUCKETS = 40;

    /** The lower bound of the first bucket; smaller ratios are counted there. */
    private static final double LOWEST = 0.125;

    /** The upper bound of the last bucket; larger ratios are counted there. */
    private static final double HIGHEST = 32;

    private static final double LOG_WIDTH = Math.log(HIGHEST / LOWEST) / BUCKETS;

    /** The weight that a run keeps when another is recorded; about 330 runs count. */
    private static final double DECAY = 0.997;

    /** Number of runs from which on estimates are made. */
    private static final int MIN_RUNS = 8;

    /**
     * The share of runs that may last longer than {@link #longest}; half a run of those counted.
     */
    private static final double NEARLY_NONE = 0.002;

    /** Margin on the longest ratio, as a few hundred runs do not show the whole tail. */
    private static final double LONGEST_MARGIN = 1.25;

    private final double[] ended = new double[BUCKETS];
    private final double[] stopped = new double[BUCKETS];

    /** The share of runs that reach the lower bound of each bucket, and the end of the last one. */
    private final double[] survival = new double[BUCKETS + 1];

    private long runs;
    private double weight;
    private boolean current;

    /** Records a run that has completed. */
    void addEnded(double ratio) {
        add(ended, ratio);
        runs++;
    }

    /** Records a run that was stopped and would have lasted longer. */
    void addStopped(double ratio) {
        add(stopped, ratio);
    }

    /** Returns whether enough runs have completed for the estimates. */
    boolean isUsable() {
        return runs >= MIN_RUNS;
    }

    /**
     * Returns the share of runs that last longer than a ratio; at least one run more than was
     * recorded, as an unseen run proves little when few are recorded.
     */
    double survival(double ratio) {
        return (rawSurvival(ratio) * weight + 1) / (weight + 1);
    }

    /** Returns the chance that a run that has lasted {@code ratio} ends before {@code later}. */
    double endChance(double ratio, double later) {
        return 1 - Math.min(1, survival(Math.max(ratio, later)) / survival(ratio));
    }

    /**
     * Returns the ratio beyond which nearly no run lasts. If too many runs were stopped to tell, it
     * is twice the longest one recorded. Empty if too few runs are recorded.
     */
    OptionalDouble longest() {
        if (!isUsable()) {
            return OptionalDouble.empty();
        }
        update();
        for (int i = 0; i <= BUCKETS; i++) {
            if (survival[i] <= NEARLY_NONE) {
                return OptionalDouble.of(bound(i) * LONGEST_MARGIN);
            }
        }
        return OptionalDouble.of(Math.min(HIGHEST, 2 * bound(lastBucket() + 1)));
    }

    /**
     * Returns the expected remaining time of a run that has lasted {@code ratio}, also as a ratio.
     * A run that has lasted longer than those recorded is expected to take as long again.
     */
    double expectedRemaining(double ratio) {
        double reached = rawSurvival(ratio);
        if (reached <= NEARLY_NONE / 2) {
            return ratio;
        }
        double sum = survival[BUCKETS] * HIGHEST;
        double from = ratio;
        for (int i = bucket(ratio); i < BUCKETS && ratio < HIGHEST; i++) {
            double to = bound(i + 1);
            sum += (to - from) * (rawSurvival(from) + survival[i + 1]) / 2;
            from = to;
        }
        return sum / reached;
    }

    private double rawSurvival(double ratio) {
        update();
        if (ratio >= HIGHEST) {
            return survival[BUCKETS];
        }
        int i = bucket(ratio);
        double lower = i == 0 ? 0 : bound(i);
        double part = Math.max(0, ratio - lower) / (bound(i + 1) - lower);
        return survival[i] + part * (survival[i + 1] - survival[i]);
    }

    private void add(double[] counts, double ratio) {
        for (int i = 0; i < BUCKETS; i++) {
            ended[i] *= DECAY;
            stopped[i] *= DECAY;
        }
        counts[bucket(ratio)]++;
        weight = weight * DECAY + 1;
        current = false;
    }

    private void update() {
        if (current) {
            return;
        }
        current = true;
        double atRisk = 0;
        for (int i = 0; i < BUCKETS; i++) {
            atRisk += ended[i] + stopped[i];
        }
        survival[0] = 1;
        for (int i = 0; i < BUCKETS; i++) {
            // Runs stopped within a bucket count as present for half of it.
            double present = atRisk - stopped[i] / 2;
            double hazard = ended[i] > 0 ? Math.min(1, ended[i] / present) : 0;
            survival[i + 1] = survival[i] * (1 - hazard);
            atRisk = Math.max(0, atRisk - ended[i] - stopped[i]);
        }
    }

    private int lastBucket() {
        for (int i = BUCKETS - 1; i > 0; i--) {
            if (ended[i] + stopped[i] > NEARLY_NONE) {
                return i;
            }
        }
        return 0;
    }

    private static int bucket(double ratio) {
        int i = (int) Math.floor(Math.log(Math.max(LOWEST, ratio) / LOWEST) / LOG_WIDTH);
        return Math.min(BUCKETS - 1, i);
    }

    private static double bound(int i) {
        return LOWEST * Math.exp(i * LOG_WIDTH);
    }
}
