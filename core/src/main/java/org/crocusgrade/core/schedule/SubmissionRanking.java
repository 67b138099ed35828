package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.crocusgrade.core.config.QueueRoute;

/**
 * Ranks the submissions for the assignment of workers.
 *
 * <p>Load: a queue receives several times the load that its pool can serve. Long-running
 * submissions come first, since each second without them costs; then those that can still meet
 * their objective, least remaining work first; then the late ones, least remaining work first.
 * Least work first serves the most submissions in time when not all can be, and finishes started
 * submissions before new ones begin: of three submissions of 1, 2 and 6 core-seconds with
 * objectives of 3 s on one core, it serves two in time, while oldest first may serve none. The
 * priorities of queues take precedence over all of this. Late submissions are never dropped: they
 * run when the others leave workers free.
 */
final class SubmissionRanking {
    private static final Comparator<Ranked> ORDER =
            Comparator.comparingInt(Ranked::priority)
                    .thenComparingInt(Ranked::rank)
                    .thenComparingDouble(Ranked::work)
                    .thenComparingLong(r -> r.submission.acceptedNanos())
                    .thenComparing(r -> r.submission.id());

    private static final int LONG_RUNNING = 0;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final WorkEstimator estimator;

    SubmissionRanking(PoolState pool, WorkEstimator estimator) {
        this.pool = pool;
        this.estimator = estimator;
    }

    /** Returns the submissions by rank, the most urgent first. */
    List<TrackedSubmission> sort(Collection<TrackedSubmission> submissions, long now) {
        List<Ranked> ranked = new ArrayList<>(submissions.size());
        for (TrackedSubmission submission : submissions) {
            ranked.add(rank(submission, pool.route(submission), now));
        }
        ranked.sort(ORDER);
        return ranked.stream().map(Ranked::submission).toList();
    }

    private Ranked rank(TrackedSubmission submission, QueueRoute route, long now) {
        if (submission.spec().isLongRunning()) {
            return new Ranked(submission, route.priority(), LONG_RUNNING, 0);
        }
        long deadlineNanos =
                submission.acceptedNanos() + estimator.objectiveNanos(route, submission.spec());
        double remainingChainNanos = estimator.remainingChainMillis(submission) * NANOS_PER_MILLI;
        int rank = deadlineNanos - now >= remainingChainNanos ? IN_TIME : LATE;
        double work = estimator.remainingCoreMillis(submission);
        return new Ranked(submission, route.priority(), rank, work);
    }

    private record Ranked(TrackedSubmission submission, int priority, int rank, double work) {}
}
