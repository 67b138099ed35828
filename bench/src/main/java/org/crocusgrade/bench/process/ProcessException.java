package org.crocusgrade.bench.process;

/** A process that could not be started, signalled or measured. */
public final class ProcessException extends Exception {
    /** Creates an exception. */
    public ProcessException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public ProcessException(String message, Throwable cause) {
        super(message, cause);
    }
}
