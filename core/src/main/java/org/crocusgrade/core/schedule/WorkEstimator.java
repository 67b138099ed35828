package org.crocusgrade.core.schedule;

import java.util.List;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionSpec;

/** Estimates the work and the time that a submission still takes, and its latency objective. */
public final class WorkEstimator {
    /** Ratio of the run time of the slowest task of a step to that of a mean task. */
    private static final double SLOWEST_TASK_FACTOR = 1.3;

    private static final double NANOS_PER_MILLI = 1e6;

    private final RunTimeModel times;

    public WorkEstimator(RunTimeModel times) {
        this.times = times;
    }

    /** Returns the time that the longest chain of steps takes from the start, in milliseconds. */
    public double chainMillis(QueueId queue, SubmissionSpec spec) {
        double[] ends = new double[spec.steps().size()];
        double longest = 0;
        for (int i = 0; i < ends.length; i++) {
            StepSpec step = spec.steps().get(i);
            double start = 0;
            for (int before : step.after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + times.predictMillis(queue, step) * SLOWEST_TASK_FACTOR;
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Returns the processor time of a whole submission, in core-milliseconds. */
    public double coreMillis(QueueId queue, SubmissionSpec spec) {
        double sum = 0;
        for (StepSpec step : spec.steps()) {
            sum += step.tasks() * coreMillis(queue, step);
        }
        return sum;
    }

    /** Returns the processor time of the tasks that are not done, in core-milliseconds. */
    public double remainingCoreMillis(TrackedSubmission submission) {
        double sum = 0;
        for (List<TrackedStep> steps : submission.occurrences()) {
            for (TrackedStep step : steps) {
                sum += step.remaining() * coreMillis(submission.queue(), step.spec());
            }
        }
        return sum;
    }

    /**
     * Returns the time that the longest chain of steps that are not done takes, in milliseconds.
     */
    public double remainingChainMillis(TrackedSubmission submission) {
        double longest = 0;
        for (List<TrackedStep> steps : submission.occurrences()) {
            double[] ends = new double[steps.size()];
            for (int i = 0; i < ends.length; i++) {
                TrackedStep step = steps.get(i);
                for (int before : step.spec().after()) {
                    ends[i] = Math.max(ends[i], ends[before]);
                }
                if (!step.isDone()) {
                    ends[i] += times.predictMillis(submission.queue(), step.spec());
                }
                longest = Math.max(longest, ends[i]);
            }
        }
        return longest;
    }

    /** Returns the latency objective of a submission, in nanoseconds from its acceptance. */
    public long objectiveNanos(QueueRoute route, SubmissionSpec spec) {
        double chain = chainMillis(route.queue(), spec);
        return (long) ((chain * route.stretch() + route.target().toMillis()) * NANOS_PER_MILLI);
    }

    private double coreMillis(QueueId queue, StepSpec step) {
        return times.predictMillis(queue, step) * step.reserved().milliCores() / 1000;
    }
}
