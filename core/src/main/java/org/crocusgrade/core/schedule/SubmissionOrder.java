package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.crocusgrade.core.config.QueueRoute;

/**
 * The order in which submissions get workers.
 *
 * <p>Load: a queue asks for several times what its pool holds. First come long-running submissions,
 * of which each second away costs; then those that can still meet their objective, least remaining
 * work first; then the late ones, least remaining work first. Least work first serves the most
 * submissions in time when not all can be, and finishes what has begun before it begins anew: of
 * three submissions of 1, 2 and 6 core-seconds with objectives of 3 s on one core, it serves two in
 * time, oldest first may serve none. Priorities of queues come before all of this. What is late is
 * never dropped: it runs when the rest leaves room.
 */
final class SubmissionOrder {
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
    private final Outlook outlook;

    SubmissionOrder(PoolState pool, Outlook outlook) {
        this.pool = pool;
        this.outlook = outlook;
    }

    /** Returns the submissions in order, the most urgent first. */
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
        long due = submission.acceptedNanos() + outlook.objectiveNanos(route, submission.spec());
        double left = outlook.remainingChainMillis(submission) * NANOS_PER_MILLI;
        int rank = due - now >= left ? IN_TIME : LATE;
        double work = outlook.remainingCoreMillis(submission);
        return new Ranked(submission, route.priority(), rank, work);
    }

    private record Ranked(TrackedSubmission submission, int priority, int rank, double work) {}
}
