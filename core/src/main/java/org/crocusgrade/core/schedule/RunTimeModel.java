package org.crocusgrade.core.schedule;

import java.util.HashMap;
import java.util.Map;
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
 */
public final class RunTimeModel {
    /** Number of runs of a queue before the learned mean is used. */
    private static final int MIN_RUNS = 8;

    /** Weight of the newest run in the moving averages, which thus cover about 50 runs. */
    private static final double NEWEST_WEIGHT = 0.02;

    private final Map<QueueId, QueueStatistics> queues = new HashMap<>();

    /** Records the run time of a completed task, in milliseconds. */
    public void add(QueueId queue, StepSpec step, double millis) {
        double log = Math.log(Math.max(1, millis));
        queues.computeIfAbsent(queue, q -> new QueueStatistics()).add(log, logEstimate(step));
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

    private static double estimateMillis(StepSpec step) {
        return Math.max(1, step.estimate().toMillis());
    }

    private static double logEstimate(StepSpec step) {
        return Math.log(estimateMillis(step));
    }

    private static final class QueueStatistics {
        private long runs;
        private double meanLog;
        private double meanMillis;
        private double meanError;
        private double estimateError;

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
