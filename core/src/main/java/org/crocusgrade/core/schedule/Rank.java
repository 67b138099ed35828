package org.crocusgrade.core.schedule;

import java.util.Comparator;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * The position of a submission in the assignment of workers; the smallest comes first.
 *
 * @param priority the priority of its queue; 0 is the highest
 * @param urgency what waiting costs its caller
 * @param beyondRate whether its customer sent it beyond its rate
 * @param overShare whether its customer uses more than its share while others wait
 * @param work its remaining work in core-milliseconds; 0 if it is long-running
 * @param firstAttemptNanos when its first attempt arrived, on the monotonic clock
 */
record Rank(
        int priority,
        Urgency urgency,
        boolean beyondRate,
        boolean overShare,
        double work,
        long firstAttemptNanos,
        SubmissionId id)
        implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
            Comparator.comparing(Rank::isWorthless)
                    .thenComparingInt(Rank::priority)
                    .thenComparing(Rank::urgency)
                    .thenComparing(Rank::beyondRate)
                    .thenComparing(Rank::overShare)
                    .thenComparingDouble(Rank::work)
                    .thenComparingLong(Rank::firstAttemptNanos)
                    .thenComparing(Rank::id);

    @Override
    public int compareTo(Rank other) {
        return ORDER.compare(this, other);
    }

    boolean isWorthless() {
        return urgency == Urgency.WORTHLESS;
    }

    /** Returns the position after the objective has passed. */
    Rank late() {
        return new Rank(priority, Urgency.LATE, beyondRate, overShare, work, firstAttemptNanos, id);
    }

    /** Returns the rank of a submission like this one with this work that is still to arrive. */
    Rank ofNext(double wholeWork) {
        return new Rank(
                priority, Urgency.IN_TIME, beyondRate, overShare, wholeWork, Long.MAX_VALUE, id);
    }

    /** What waiting costs the caller of a submission, the most urgent first. */
    enum Urgency {
        /** It is long-running: each second without its tasks costs. */
        LONG_RUNNING,
        /** It can still meet its objective. */
        IN_TIME,
        /** It can still end within the multiple of its objective in which its end has a value. */
        LATE,
        /** Its end has no value any more. */
        WORTHLESS
    }
}
