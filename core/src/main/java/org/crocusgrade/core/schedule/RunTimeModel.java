package org.crocusgrade.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.submission.StepSpec;

/**
 * Predicts how long a task of a queue runs.
 *
 * <p>Callers' estimates are good on some queues and far off on others. So for each queue the model
 * keeps the mean of the logarithms of the run times, and the mean error of two predictors: that
 * mean, and the caller's estimate. The one that erred less is used. Example: run times of 1 s and 4
 * s with estimates of 8 s and 1 s; the mean of 2 s errs by a factor of 2 each time, the estimates
 * by 8 and 4, so 2 s is predicted whatever the next estimate says.
 */
public final class RunTimeModel {
    /** Runs of a queue before the learned mean is considered. */
    private static final int ENOUGH_RUNS = 8;

    /** Weight of the newest run: the memory is about 50 runs. */
    private static final double NEWEST_WEIGHT = 0.02;

    private final Map<QueueId, Learned> queues = new HashMap<>();

    /** Takes the run time of a task that was done, in milliseconds. */
    public void add(QueueId queue, StepSpec step, double millis) {
        double log = Math.log(Math.max(1, millis));
        queues.computeIfAbsent(queue, q -> new Learned()).add(log, logEstimate(step));
    }

    /** Returns whether enough runs of a queue were seen to say what is usual. */
    public boolean isLearned(QueueId queue) {
        Learned learned = queues.get(queue);
        return learned != null && learned.runs >= ENOUGH_RUNS;
    }

    /** Returns the predicted run time of a task, in milliseconds. */
    public double predictMillis(QueueId queue, StepSpec step) {
        Learned learned = queues.get(queue);
        if (learned == null || learned.runs < ENOUGH_RUNS) {
            return Math.max(1, step.estimate().toMillis());
        }
        boolean meanIsBetter = learned.meanError <= learned.estimateError;
        return Math.exp(meanIsBetter ? learned.meanLog : logEstimate(step));
    }

    private static double logEstimate(StepSpec step) {
        return Math.log(Math.max(1, step.estimate().toMillis()));
    }

    private static final class Learned {
        private long runs;
        private double meanLog;
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
        }
    }
}
