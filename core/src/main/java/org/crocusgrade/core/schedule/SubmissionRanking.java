package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.schedule.Rank.Urgency;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * Ranks the submissions for the assignment of workers.
 *
 * <p>Load: a queue receives several times the load that its pool can serve. Long-running
 * submissions come first, since each second without them costs; then those that can still meet
 * their objective, least remaining work first; then the late ones, least remaining work first.
 * Least work first serves the most submissions in time when not all can be, and finishes started
 * submissions before new ones begin: of three submissions of 1, 2 and 6 core-seconds with
 * objectives of 3 s on one core, it serves two in time, while oldest first may serve none. Within
 * such a class, submissions that a customer sent beyond its rate come after others, and then those
 * of customers above their share ({@link CustomerShares}). The priorities of queues take precedence
 * over all of this, except that submissions whose end has no value any more come after all others.
 * They are never dropped: they run when the others leave workers free.
 */
final class SubmissionRanking implements StartOrder {
    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final WorkEstimator estimator;
    private final CustomerShares shares;

    SubmissionRanking(PoolState pool, WorkEstimator estimator, CustomerShares shares) {
        this.pool = pool;
        this.estimator = estimator;
        this.shares = shares;
    }

    @Override
    public List<TrackedSubmission> sort(Collection<TrackedSubmission> submissions, long now) {
        List<Ranked> ranked = new ArrayList<>(submissions.size());
        for (TrackedSubmission submission : submissions) {
            ranked.add(new Ranked(submission, rank(submission, now)));
        }
        ranked.sort(Comparator.comparing(Ranked::rank));
        return ranked.stream().map(Ranked::submission).toList();
    }

    /** Returns the rank of an accepted submission. */
    Rank rank(TrackedSubmission submission, long now) {
        QueueRoute route = pool.route(submission);
        boolean longRunning = submission.spec().isLongRunning();
        return new Rank(
                route.priority(),
                longRunning ? Urgency.LONG_RUNNING : urgency(submission, route, now),
                submission.isBeyondRate(),
                shares.isAbove(submission.customer()),
                longRunning ? 0 : estimator.remainingCoreMillis(submission),
                submission.firstAttemptNanos(),
                submission.id());
    }

    /** Returns the rank that a batch submission would have if it were accepted now. */
    Rank rank(AdmissionRequest request, FirstAttempts.Attempt first) {
        return new Rank(
                request.route().priority(),
                Urgency.IN_TIME,
                first.beyondRate(),
                shares.isAbove(request.customer()),
                estimator.coreMillis(request.route().queue(), request.spec()),
                first.nanos(),
                request.id());
    }

    private Urgency urgency(TrackedSubmission submission, QueueRoute route, long now) {
        SubmissionSpec spec = submission.spec();
        double age = now - submission.acceptedNanos();
        double end = age + estimator.remainingChainMillis(submission) * NANOS_PER_MILLI;
        if (end <= estimator.objectiveNanos(route, spec)) {
            return Urgency.IN_TIME;
        }
        // The later occurrences of a recurring submission are due long after its acceptance.
        boolean valuable =
                spec.recurrence().isPresent() || end <= estimator.limitNanos(route, spec);
        return valuable ? Urgency.LATE : Urgency.WORTHLESS;
    }

    private record Ranked(TrackedSubmission submission, Rank rank) {}
}
