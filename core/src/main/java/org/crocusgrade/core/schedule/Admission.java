package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * Decides at once whether a submission is taken.
 *
 * <p>Load: a queue asks five times its mean for some seconds. What cannot end within three times
 * its objective is worth nothing to its caller, so it is refused at the door with the time after
 * which the backlog will have shrunk enough. The work ahead of a submission is what the schedule
 * serves before it, the submissions with less work left. Example: 100 core-seconds ahead on 50
 * cores, a chain of 2 s and an objective of 4 s: it would end after 4 s, so it is taken; with 600
 * core-seconds ahead it would end after 14 s, and is told to come back after 2 s.
 */
public final class Admission {
    /** Ends later than this multiple of the objective are worth nothing. */
    private static final double WORTHLESS_AFTER = 3.0;

    /** The longest time that callers are sent away: capacity follows demand within seconds. */
    private static final long LONGEST_RETRY_SECONDS = 15;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MILLIS_PER_SECOND = 1000;

    private final Outlook outlook;

    /** Makes the rule. */
    public Admission(Outlook outlook) {
        this.outlook = Objects.requireNonNull(outlook);
    }

    /**
     * Decides.
     *
     * @param coreMillisAhead the work that would be served first, in core-milliseconds
     * @param cores the processors of the pool that serve such work
     * @return empty to take the submission, else how long its caller should wait
     */
    public Optional<Duration> refuse(
            QueueRoute route, SubmissionSpec spec, double coreMillisAhead, double cores) {
        if (spec.isLongRunning() || spec.recurrence().isPresent()) {
            return Optional.empty();
        }
        double limit = outlook.objectiveNanos(route, spec) / NANOS_PER_MILLI * WORTHLESS_AFTER;
        double chain = outlook.chainMillis(route.queue(), spec);
        double end = coreMillisAhead / Math.max(1, cores) + chain;
        if (end <= limit) {
            return Optional.empty();
        }
        long seconds = (long) Math.ceil((end - limit) / MILLIS_PER_SECOND);
        return Optional.of(
                Duration.ofSeconds(Math.max(1, Math.min(seconds, LONGEST_RETRY_SECONDS))));
    }
}
