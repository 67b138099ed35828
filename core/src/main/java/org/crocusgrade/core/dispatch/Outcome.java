package org.crocusgrade.core.dispatch;

/** Whether a request was run, as reported to its caller in {@code Crocusgrade-Outcome}. */
public enum Outcome {
    /** The request was run; its whole answer follows. */
    COMPLETED("completed"),
    /** The request was certainly not run. */
    NOT_RUN("not-run"),
    /** The request may or may not have run, wholly or in part. */
    UNKNOWN("unknown");

    /** The value of the header. */
    public final String word;

    Outcome(String word) {
        this.word = word;
    }
}
