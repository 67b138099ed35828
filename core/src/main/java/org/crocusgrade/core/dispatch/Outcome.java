package org.crocusgrade.core.dispatch;

/** What a caller is told of its request; sent as {@code Crocusgrade-Outcome}. */
public enum Outcome {
    /** The whole answer of the request follows. */
    COMPLETED("completed"),
    /** The request was certainly not run. */
    NOT_RUN("not-run"),
    /** The request may or may not have run, wholly or in part. */
    UNKNOWN("unknown");

    /** The word in the header. */
    public final String word;

    Outcome(String word) {
        this.word = word;
    }
}
