package org.crocusgrade.core.schedule;

import java.util.HashSet;
import java.util.Set;
import org.crocusgrade.core.schedule.Rank.Urgency;

/**
 * Sums up the work that would be served before a new submission, in one pass over the active
 * submissions and one over the runs.
 *
 * <p>Submissions that rank after the new one count only with what their running tasks have left,
 * since these are not stopped. Those whose end has no value any more count in the same way.
 */
final class BacklogEstimator {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final PoolState pool;
    private final WorkEstimator estimator;
    private final SubmissionRanking ranking;

    BacklogEstimator(PoolState pool, WorkEstimator estimator, SubmissionRanking ranking) {
        this.pool = pool;
        this.estimator = estimator;
        this.ranking = ranking;
    }

    /** Returns the work before a batch submission that has the given rank in time. */
    Backlog ahead(Rank mine, long now) {
        Rank mineLate = mine.late();
        Set<TrackedSubmission> beforeInTime = new HashSet<>();
        Set<TrackedSubmission> before = new HashSet<>();
        Work inTime = Work.NONE;
        Work late = Work.NONE;
        Work arriving = Work.NONE;
        for (TrackedSubmission other : pool.active()) {
            Rank rank = ranking.rank(other, now);
            boolean counts = rank.urgency() == Urgency.IN_TIME || rank.urgency() == Urgency.LATE;
            if (!counts || rank.compareTo(mineLate) >= 0) {
                continue;
            }
            Work remaining = estimator.remainingWork(other);
            before.add(other);
            late = late.plus(remaining);
            arriving = arriving.plus(arriving(other, rank, mineLate, now));
            if (rank.compareTo(mine) < 0) {
                beforeInTime.add(other);
                inTime = inTime.plus(remaining);
            }
        }
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                TrackedStep step = placement.task().step();
                TrackedSubmission submission = step.submission();
                if (step.spec().longRunning() || beforeInTime.contains(submission)) {
                    continue;
                }
                Work running = estimator.runningWork(step);
                inTime = inTime.plus(running);
                late = before.contains(submission) ? late : late.plus(running);
            }
        }
        return new Backlog(inTime, late, arriving);
    }

    /** Returns the work of a submission of the last second, if one more like it ranks before. */
    private Work arriving(TrackedSubmission submission, Rank rank, Rank mine, long now) {
        if (now - submission.acceptedNanos() >= WINDOW_NANOS) {
            return Work.NONE;
        }
        // Of equal submissions, only those that arrive earlier rank before this one.
        Work whole = estimator.work(submission.queue(), submission.spec());
        return rank.ofNext(whole.coreMillis()).compareTo(mine) < 0 ? whole : Work.NONE;
    }
}
