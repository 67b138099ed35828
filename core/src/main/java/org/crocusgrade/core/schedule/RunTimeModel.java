package org.crocusgrade.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.submission.StepSpec;

/**
 * Predicts the run time of tasks, per queue.
 *
 * <p>Callers' estimates are accurate on some queues and far off on others. So for each queue the
 * model keeps the mean of the logarithms of the run times, and the mean error of two predictors:
 * that mean, and the caller's estimate. The predictor with the smaller error is used. Example: with
 * run times of 1 s and 4 s and estimates of 8 s and 1 s, the geometric mean of 2 s is off by a
 * factor of 2 each time and the estimates by factors of 8 and 4, so 2 s is predicted regardless of
 * the next estimate.
 *
 * <p>The ratios of run times to predictions are kept as a {@link RunTimeDistribution} for each
 * queue. It shows how long sound runs last, which a mean does not: with a heavy tail, a run that
 * has taken three times its prediction is more likely to be a long one than to be stalled.
 */
public final class RunTimeModel {
    /** Number of runs of a queue before the learned mean is used. */
    private static final int MIN_RUNS = 8;

    /** Weight of the newest run in the moving averages, which thus cover about 50 runs. */
    private static final double NEWEST_WEIGHT = 0.02;

    /**
     * The share of completed runs that must have been reported with processors in use before a run
     * without any counts as idle. Runs shorter than the interval of reports are never seen at work.
     */
    private static final double MIN_LOAD_REPORTED = 0.5;

    private final Map<QueueId, QueueStatistics> queues = new HashMap<>();

    /** Records the run time of a completed task, in milliseconds. */
    public void add(QueueId queue, StepSpec step, double millis) {
        if (hasEnoughRuns(queue)) {
            double ratio = ratio(queue, step, Math.max(1, millis));
            queues.get(queue).distribution.addEnded(ratio);
            queues.get(queue).addRatio(ratio);
        }
        addToMean(queue, step, millis);
    }

    /**
     * Records the run time of a task on a slow worker, in milliseconds, which says nothing about
     * how long runs last on other workers.
     */
    void addToMean(QueueId queue, StepSpec step, double millis) {
        double log = Math.log(Math.max(1, millis));
        queues.computeIfAbsent(queue, q -> new QueueStatistics()).add(log, logEstimate(step));
    }

    /**
     * Returns the logarithm of the ratio of a run's time to that of the queue's other runs with the
     * same prediction; empty if too few runs are known.
     */
    OptionalDouble relativeLog(QueueId queue, StepSpec step, double millis) {
        if (!hasDistribution(queue)) {
            return OptionalDouble.empty();
        }
        double log = Math.log(Math.max(1, millis) / predictMillis(queue, step));
        return OptionalDouble.of(log - queues.get(queue).meanLogRatio);
    }

    /** Records that a run was stopped after {@code millis} milliseconds before it had ended. */
    void addStopped(QueueId queue, StepSpec step, double millis) {
        if (hasEnoughRuns(queue)) {
            queues.get(queue).distribution.addStopped(ratio(queue, step, millis));
        }
    }

    /** Records whether a completed run was ever reported with processors in use. */
    void addLoadReported(QueueId queue, boolean reported) {
        queues.computeIfAbsent(queue, q -> new QueueStatistics()).addLoadReported(reported);
    }

    /**
     * Returns whether reports show the processors in use by the runs of a queue. If so, a run that
     * uses none for long does not work.
     */
    boolean areLoadsReported(QueueId queue) {
        QueueStatistics statistics = queues.get(queue);
        return statistics != null && statistics.loadReported >= MIN_LOAD_REPORTED;
    }

    /** Returns whether enough runs of a queue were recorded for a reliable prediction. */
    public boolean hasEnoughRuns(QueueId queue) {
        QueueStatistics statistics = queues.get(queue);
        return statistics != null && statistics.runs >= MIN_RUNS;
    }

    /** Returns the predicted run time of a task, in milliseconds; at least 1. */
    public double predictMillis(QueueId queue, StepSpec step) {
        QueueStatistics statistics = queues.get(queue);
        if (statistics == null || statistics.runs < MIN_RUNS) {
            return estimateMillis(step);
        }
        boolean meanIsBetter = statistics.meanError <= statistics.estimateError;
        return meanIsBetter ? statistics.meanMillis : estimateMillis(step);
    }

    /** Returns whether the distribution of a queue's run times is known. */
    boolean hasDistribution(QueueId queue) {
        QueueStatistics statistics = queues.get(queue);
        return statistics != null && statistics.distribution.isUsable();
    }

    /**
     * Returns the age beyond which nearly no sound run lasts, in milliseconds; empty if too few
     * runs are known.
     */
    OptionalDouble longestMillis(QueueId queue, StepSpec step) {
        if (!hasDistribution(queue)) {
            return OptionalDouble.empty();
        }
        double ratio = queues.get(queue).distribution.longest().orElseThrow();
        return OptionalDouble.of(ratio * predictMillis(queue, step));
    }

    /** Returns the share of runs that last longer than an age; 1 if too few runs are known. */
    double survival(QueueId queue, StepSpec step, double ageMillis) {
        if (!hasDistribution(queue)) {
            return 1;
        }
        return queues.get(queue).distribution.survival(ratio(queue, step, ageMillis));
    }

    /**
     * Returns the expected remaining time of a run of an age, in milliseconds; if too few runs are
     * known, what is left of the prediction.
     */
    double expectedRemainingMillis(QueueId queue, StepSpec step, double ageMillis) {
        double predicted = predictMillis(queue, step);
        if (!hasDistribution(queue)) {
            return Math.max(0, predicted - ageMillis);
        }
        return queues.get(queue).distribution.expectedRemaining(ageMillis / predicted) * predicted;
    }

    private double ratio(QueueId queue, StepSpec step, double millis) {
        return millis / predictMillis(queue, step);
    }

    private static double estimateMillis(StepSpec step) {
        return Math.max(1, step.estimate().toMillis());
    }

    private static double logEstimate(StepSpec step) {
        return Math.log(estimateMillis(step));
    }

    private static final class QueueStatistics {
        private final RunTimeDistribution distribution = new RunTimeDistribution();
        private double loadReported;
        private double meanLogRatio;
        private long runs;
        private double meanLog;
        private double meanMillis;
        private double meanError;
        private double estimateError;

        void addRatio(double ratio) {
            meanLogRatio += NEWEST_WEIGHT * (Math.log(ratio) - meanLogRatio);
        }

        void addLoadReported(boolean reported) {
            loadReported += NEWEST_WEIGHT * ((reported ? 1 : 0) - loadReported);
        }

        void add(double log, double estimate) {
            runs++;
            double weight = Math.max(NEWEST_WEIGHT, 1.0 / runs);
            if (runs > 1) {
                meanError += weight * (Math.abs(log - meanLog) - meanError);
            }
            estimateError += weight * (Math.abs(log - estimate) - estimateError);
            meanLog += weight * (log - meanLog);
            meanMillis = Math.exp(meanLog);
        }
    }
}
