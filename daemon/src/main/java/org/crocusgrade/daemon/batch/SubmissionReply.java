package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Objects;
import org.crocusgrade.core.submission.SubmissionState;

/**
 * The answer to a call.
 *
 * @param outcome what became of the call
 * @param state the submission's state, if it was asked for
 * @param pending the count, if it was asked for
 * @param retryAfter when to come back, after a refusal
 * @param reason why, in a word or two
 */
public record SubmissionReply(
        Outcome outcome, SubmissionState state, int pending, Duration retryAfter, String reason) {
    /** When to come back if nothing better is known: about the time of a take-over. */
    public static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

    /** Checks the fields. */
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

    /** What became of a call. The order is that of the messages between daemons. */
    public enum Outcome {
        /** It was carried out. */
        DONE,
        /** A submission was not taken and never runs. */
        REFUSED,
        /** There is no such submission. */
        UNKNOWN_SUBMISSION,
        /** What was handed in cannot be read. */
        INVALID,
        /** The daemon does not own the pool; nothing was done. */
        NOT_OWNER,
        /** The question cannot be answered now; nothing was done. */
        UNAVAILABLE,
        /** Nobody knows what became of the call. */
        NO_ANSWER
    }
}
