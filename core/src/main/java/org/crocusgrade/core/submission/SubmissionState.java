package org.crocusgrade.core.submission;

/**
 * The state of a submission as reported to callers. The ordinals are stored and sent to peers, so
 * the order of the constants must not change.
 */
public enum SubmissionState {
    /** Accepted; no task has begun. */
    QUEUED,
    /** A task has begun. */
    RUNNING,
    /** All tasks have completed. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by its caller. */
    CANCELLED;

    /** Returns whether the state is terminal. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
