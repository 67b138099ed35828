package org.crocusgrade.core.schedule;

import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionSpec;

/** Estimates the work and the time that a submission still takes, and its latency objective. */
public final class WorkEstimator {
    /** Ratio of the run time of the slowest task of a step to that of a mean task. */
    private static final double SLOWEST_TASK_FACTOR = 1.3;

    /** A submission that ends later than this multiple of its objective has no value. */
    private static final double MAX_OBJECTIVE_FACTOR = 3.0;

    /** The mean part of a run that is still ahead, as runs are met at any age. */
    private static final double MEAN_REMAINING_PART = 0.5;

    private static final double MILLI_CORES_PER_CORE = 1000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final RunTimeModel times;

    public WorkEstimator(RunTimeModel times) {
        this.times = times;
    }

    /** Returns the time that the longest chain of steps takes from the start, in milliseconds. */
    public double chainMillis(QueueId queue, SubmissionSpec spec) {
        return chainMillis(queue, spec, SLOWEST_TASK_FACTOR, Optional.empty());
    }

    /**
     * Returns the time that a submission takes on the whole of a capacity, in milliseconds: a step
     * with more tasks than fit at a time takes as long as its work does.
     */
    double soloMillis(QueueId queue, SubmissionSpec spec, BatchCapacity capacity) {
        return soloMillis(queue, spec, SLOWEST_TASK_FACTOR, capacity);
    }

    /** Returns the same time if no task is slower than the mean, in milliseconds. */
    double meanSoloMillis(QueueId queue, SubmissionSpec spec, BatchCapacity capacity) {
        return soloMillis(queue, spec, 1, capacity);
    }

    private double soloMillis(
            QueueId queue, SubmissionSpec spec, double slowestTaskFactor, BatchCapacity capacity) {
        double chain = chainMillis(queue, spec, slowestTaskFactor, Optional.of(capacity));
        return Math.max(chain, capacity.millisFor(work(queue, spec)));
    }

    private double chainMillis(
            QueueId queue,
            SubmissionSpec spec,
            double slowestTaskFactor,
            Optional<BatchCapacity> capacity) {
        double[] ends = new double[spec.steps().size()];
        double longest = 0;
        for (int i = 0; i < ends.length; i++) {
            StepSpec step = spec.steps().get(i);
            double start = 0;
            for (int before : step.after()) {
                start = Math.max(start, ends[before]);
            }
            double millis = times.predictMillis(queue, step) * slowestTaskFactor;
            if (capacity.isPresent()) {
                millis =
                        Math.max(millis, capacity.get().millisFor(work(queue, step, step.tasks())));
            }
            ends[i] = start + millis;
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Returns the processor time of a whole submission, in core-milliseconds. */
    public double coreMillis(QueueId queue, SubmissionSpec spec) {
        return work(queue, spec).coreMillis();
    }

    /** Returns the work of a whole submission. */
    Work work(QueueId queue, SubmissionSpec spec) {
        Work sum = Work.NONE;
        for (StepSpec step : spec.steps()) {
            sum = sum.plus(work(queue, step, step.tasks()));
        }
        return sum;
    }

    /** Returns the processor time of the tasks that are not done, in core-milliseconds. */
    public double remainingCoreMillis(TrackedSubmission submission) {
        return remainingWork(submission).coreMillis();
    }

    /** Returns the work of the tasks that are not done. */
    Work remainingWork(TrackedSubmission submission) {
        double coreMillis = 0;
        double memoryMillis = 0;
        for (List<TrackedStep> steps : submission.openOccurrences()) {
            for (TrackedStep step : steps) {
                if (!step.isDone()) {
                    Work work = work(submission.queue(), step.spec(), step.remaining());
                    coreMillis += work.coreMillis();
                    memoryMillis += work.memoryMillis();
                }
            }
        }
        return new Work(coreMillis, memoryMillis);
    }

    /** Returns the mean work that a running task of a step has left. */
    Work runningWork(TrackedStep step) {
        return work(step.submission().queue(), step.spec(), 1).times(MEAN_REMAINING_PART);
    }

    /**
     * Returns the time that the longest chain of steps that are not done takes, in milliseconds.
     */
    public double remainingChainMillis(TrackedSubmission submission) {
        double longest = 0;
        for (List<TrackedStep> steps : submission.openOccurrences()) {
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

    /**
     * Returns the time after which the end of a submission has no value to its caller, in
     * nanoseconds from its acceptance.
     */
    long limitNanos(QueueRoute route, SubmissionSpec spec) {
        return (long) (objectiveNanos(route, spec) * MAX_OBJECTIVE_FACTOR);
    }

    private Work work(QueueId queue, StepSpec step, int tasks) {
        double millis = times.predictMillis(queue, step) * tasks;
        return new Work(
                millis * step.reserved().milliCores() / MILLI_CORES_PER_CORE,
                millis * step.reserved().memoryMb());
    }
}
