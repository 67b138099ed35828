package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Objects;
import org.crocusgrade.core.submission.SubmissionState;

/**
 * The reply to a {@link SubmissionCall}.
 *
 * @param outcome result of the call
 * @param state state of the submission, if it was requested
 * @param pending number of submissions that have not begun, if it was requested
 * @param retryAfter when to retry after a refusal
 * @param reason why, in a few words
 */
public record SubmissionReply(
        Outcome outcome, SubmissionState state, int pending, Duration retryAfter, String reason) {
    /** When to retry if no better time is known: about the duration of a takeover. */
    public static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

    /** Rejects null fields. */
    public SubmissionReply {
        Objects.requireNonNull(outcome);
        Objects.requireNonNull(state);
        Objects.requireNonNull(retryAfter);
        Objects.requireNonNull(reason);
    }

    static SubmissionReply done(SubmissionState state) {
        return new SubmissionReply(Outcome.DONE, state, 0, Duration.ZERO, "done");
    }

    static SubmissionReply counted(int pending) {
        return new SubmissionReply(
                Outcome.DONE, SubmissionState.QUEUED, pending, Duration.ZERO, "done");
    }

    static SubmissionReply refused(Duration retryAfter, String reason) {
        return new SubmissionReply(Outcome.REFUSED, SubmissionState.QUEUED, 0, retryAfter, reason);
    }

    static SubmissionReply of(Outcome outcome, String reason) {
        return new SubmissionReply(outcome, SubmissionState.QUEUED, 0, DEFAULT_RETRY, reason);
    }

    static SubmissionReply forbidden() {
        return of(Outcome.FORBIDDEN, "submission of another customer");
    }

    /** Results of a call. Their order is part of the protocol between daemons. */
    public enum Outcome {
        /** The call was executed. */
        DONE,
        /** The submission was not accepted and will never run. */
        REFUSED,
        /** There is no such submission. */
        UNKNOWN_SUBMISSION,
        /** The submitted document cannot be parsed. */
        INVALID,
        /** The daemon does not own the pool; nothing was done. */
        NOT_OWNER,
        /** The request cannot be answered now; nothing was done. */
        UNAVAILABLE,
        /** No answer arrived; the call may have been executed. */
        NO_ANSWER,
        /** The submission belongs to another customer; nothing was done. */
        FORBIDDEN
    }
}
