package org.crocusgrade.core.submission;

/** What callers are told of a submission. The order is that of the stored records. */
public enum SubmissionState {
    /** Accepted; no task has begun. */
    QUEUED,
    /** A task has begun. */
    RUNNING,
    /** All tasks have ended as done. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by its caller. */
    CANCELLED;

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
