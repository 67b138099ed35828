package org.crocusgrade.bench.trial;

/** A trial that could not be carried out. */
public final class TrialException extends Exception {
    /** Makes an exception. */
    public TrialException(String message) {
        super(message);
    }

    /** Makes an exception with the failure below it. */
    public TrialException(String message, Throwable cause) {
        super(message, cause);
    }
}
