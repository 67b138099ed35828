package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * Admission control: accepts or rejects a submission as soon as it arrives.
 *
 * <p>Load: a queue receives five times its mean load for some seconds. A result that comes later
 * than three times the objective has no value to the caller, so a submission that would end later
 * than that is rejected immediately, with the delay after which the backlog will have shrunk
 * enough. The work ahead of a submission is the remaining work of the submissions that are
 * scheduled before it: those that have no more of it than the submission itself. Example: with 100
 * core-seconds ahead on 50 cores, a chain of 2 s and an objective of 4 s, the submission would end
 * after 4 s and is accepted; with 600 core-seconds ahead it would end after 14 s, 2 s over the
 * limit of 12 s, and the caller is asked to retry after 2 s.
 */
public final class Admission {
    /** A submission that ends later than this multiple of its objective has no value. */
    private static final double MAX_OBJECTIVE_FACTOR = 3.0;

    /** Upper bound of the retry delay: capacity follows demand within seconds. */
    private static final long MAX_RETRY_SECONDS = 15;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MILLIS_PER_SECOND = 1000;

    private final WorkEstimator estimator;

    public Admission(WorkEstimator estimator) {
        this.estimator = Objects.requireNonNull(estimator);
    }

    /**
     * Decides whether a submission is accepted. Long-running and recurring submissions always are.
     *
     * @param coreMillisAhead the work that would be served first, in core-milliseconds
     * @param cores the processors of the pool that serve batch work
     * @return empty if the submission is accepted, else the delay before the caller should retry
     */
    public Optional<Duration> checkAdmission(
            QueueRoute route, SubmissionSpec spec, double coreMillisAhead, double cores) {
        if (spec.isLongRunning() || spec.recurrence().isPresent()) {
            return Optional.empty();
        }
        double limit =
                estimator.objectiveNanos(route, spec) / NANOS_PER_MILLI * MAX_OBJECTIVE_FACTOR;
        double chain = estimator.chainMillis(route.queue(), spec);
        double end = coreMillisAhead / Math.max(1, cores) + chain;
        if (end <= limit) {
            return Optional.empty();
        }
        long seconds = (long) Math.ceil((end - limit) / MILLIS_PER_SECOND);
        return Optional.of(Duration.ofSeconds(Math.max(1, Math.min(seconds, MAX_RETRY_SECONDS))));
    }
}
