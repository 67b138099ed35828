package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * Admission control: accepts or rejects a submission as soon as it arrives.
 *
 * <p>Load: a queue receives five times its mean load for some seconds. A result that comes later
 * than three times the objective has no value to the caller, so a submission that would end later
 * than that is rejected immediately, with the delay after which the backlog will have shrunk
 * enough. It would end when the work that ranks before it is done and its own tasks have run, each
 * on the resource that takes longest; once it cannot meet its objective, all work that can ranks
 * before it. Work that is still to arrive does not count: a caller's time runs from its first
 * attempt, so a refusal of what could be served costs more than it spares others. It counts only
 * for what a customer submits beyond its rate, which yields to all work that arrives until its
 * limit. Example: with 100 core-seconds ahead on 50 cores, a chain of 2 s and an objective of 4 s,
 * the submission would end after 4 s and is accepted; with 600 core-seconds ahead it would end
 * after 14 s, 2 s over the limit of 12 s, and the caller is asked to retry after 2 s.
 */
public final class Admission {
    /** Upper bound of the retry delay before its spread: capacity follows demand in seconds. */
    private static final double MAX_RETRY_SECONDS = 15;

    /** The part of the delay over which callers that were refused together are spread. */
    private static final double RETRY_SPREAD = 0.5;

    private static final int HASH_BITS = 15;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final WorkEstimator estimator;

    public Admission(WorkEstimator estimator) {
        this.estimator = Objects.requireNonNull(estimator);
    }

    /** Accepts a submission regardless of the backlog. */
    static AdmissionDecision acceptAlways(FirstAttempts.Attempt first, BatchCapacity capacity) {
        return new AdmissionDecision(
                Optional.empty(),
                0,
                0,
                capacity,
                Duration.ZERO,
                Duration.ZERO,
                first.nanos(),
                first.beyondRate());
    }

    /** Decides whether a batch submission is accepted. */
    AdmissionDecision decide(
            AdmissionRequest request,
            FirstAttempts.Attempt first,
            Backlog backlog,
            BatchCapacity capacity) {
        double objective =
                estimator.objectiveNanos(request.route(), request.spec()) / NANOS_PER_MILLI;
        double limit = estimator.limitNanos(request.route(), request.spec()) / NANOS_PER_MILLI;
        double own = estimator.soloMillis(request.route().queue(), request.spec(), capacity);
        double mean = estimator.meanSoloMillis(request.route().queue(), request.spec(), capacity);
        Work ahead = backlog.inTime();
        boolean startsInTime = capacity.millisFor(ahead) + mean <= objective;
        if (first.beyondRate()) {
            ahead = backlog.expectedLate(capacity, limit);
        } else if (!startsInTime) {
            ahead = backlog.late();
        }
        double end = capacity.millisFor(ahead) + own;
        // Nothing to wait for: a retry would find the same, and the pool gets hosts for its tasks.
        boolean accepted = end <= limit || backlog.late().isNone();
        return new AdmissionDecision(
                accepted ? Optional.empty() : Optional.of(retryAfter(request.id(), end - limit)),
                ahead.coreMillis(),
                ahead.memoryMillis(),
                capacity,
                millis(end),
                millis(limit),
                first.nanos(),
                first.beyondRate());
    }

    /**
     * Returns the time until a submission could be accepted, spread by its id. The parts of a
     * second decide by another part of the hash whether it is rounded up, so that short delays are
     * spread too.
     */
    private static Duration retryAfter(SubmissionId id, double excessMillis) {
        double seconds = Math.max(1, Math.min(excessMillis / MILLIS_PER_SECOND, MAX_RETRY_SECONDS));
        int hash = id.hashCode() * 0x9E3779B9;
        double spread = fraction(hash >>> HASH_BITS);
        double rounding = fraction(hash);
        return Duration.ofSeconds((long) (seconds * (1 + RETRY_SPREAD * spread) + rounding));
    }

    private static double fraction(int hash) {
        int range = 1 << HASH_BITS;
        return (double) (hash & (range - 1)) / range;
    }

    private static Duration millis(double millis) {
        return Duration.ofMillis(Math.round(millis));
    }
}
