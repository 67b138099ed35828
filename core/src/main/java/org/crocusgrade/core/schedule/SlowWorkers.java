package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * Finds workers on which runs take far longer than usual, while those runs still go on.
 *
 * <p>Load: some workers turn several times slower for some seconds, or stand still, and look well
 * otherwise. One run that takes long may be a long task; runs of several submissions that overrun
 * on one worker at the same time point at the worker. Such a worker gets nothing new for a while,
 * and what overruns there is stopped and started elsewhere, which on a worker that is six times
 * slower saves more than is lost. Worked case: tasks take 1 s; on one worker two runs of different
 * submissions are 2.3 s old, so it is suspected then, and not after the 4.5 s that one run gets.
 * When many workers overrun at once the prediction is wrong and not the workers, so at most a third
 * is suspected.
 */
final class SlowWorkers {
    /** A run that is older than this multiple of its predicted time overruns. */
    private static final double OVERRUN_FACTOR = 2.0;

    /** What a run may take besides, for its start and its end to be told, in milliseconds. */
    private static final double OVERRUN_SLACK_MILLIS = 300;

    /** Submissions whose runs overrun at the same time on a worker that is suspected. */
    private static final int SUBMISSIONS = 2;

    /** The part of the workers that is suspected at most. */
    private static final int MOST_PART = 3;

    /** How long a suspected worker gets nothing new, in nanoseconds. */
    private static final long QUARANTINE_NANOS = Duration.ofSeconds(3).toNanos();

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times;
    private final Set<WorkerNode> suspected = new HashSet<>();

    SlowWorkers(PoolState pool, RunTimeModel times) {
        this.pool = pool;
        this.times = times;
    }

    /** Looks at all workers. */
    void look(long now) {
        suspected.clear();
        for (WorkerNode worker : pool.workers().values()) {
            if (!worker.isSilent() && overrunning(worker, now).size() >= SUBMISSIONS) {
                suspected.add(worker);
            }
        }
        if (suspected.size() > Math.max(1, pool.workers().size() / MOST_PART)) {
            suspected.clear();
        }
        suspected.forEach(w -> w.setSlowUntil(now + QUARANTINE_NANOS));
    }

    /** Returns whether a run should be stopped because it overruns on a suspected worker. */
    boolean isHeldUp(Placement placement, long now) {
        return suspected.contains(placement.worker()) && overruns(placement, now);
    }

    private Set<SubmissionId> overrunning(WorkerNode worker, long now) {
        Set<SubmissionId> submissions = new HashSet<>();
        for (Placement placement : worker.placements()) {
            if (overruns(placement, now)) {
                submissions.add(placement.task().step().submission().id());
            }
        }
        return submissions;
    }

    private boolean overruns(Placement placement, long now) {
        StepRun step = placement.task().step();
        StepSpec spec = step.spec();
        boolean comparable =
                !spec.longRunning()
                        && !spec.opportunistic()
                        && !spec.gang()
                        && !spec.rackLocal()
                        && spec.dataRack().isEmpty();
        if (!comparable || placement.phase() != Phase.RUNNING || !placement.isListed()) {
            return false;
        }
        if (!times.isLearned(step.submission().queue())) {
            return false;
        }
        double predicted = times.predictMillis(step.submission().queue(), spec);
        double limit = predicted * OVERRUN_FACTOR + OVERRUN_SLACK_MILLIS;
        double age = (now - placement.orderedNanos()) / NANOS_PER_MILLI;
        return age > limit * (1 << placement.task().stalls());
    }
}
