package org.crocusgrade.bench.trial;

/** A trial that could not be carried out. */
public final class TrialException extends Exception {
    /** Creates an exception. */
    public TrialException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public TrialException(String message, Throwable cause) {
        super(message, cause);
    }
}
