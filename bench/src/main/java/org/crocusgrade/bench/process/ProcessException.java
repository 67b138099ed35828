package org.crocusgrade.bench.process;

/** A process that could not be started, signalled or measured. */
public final class ProcessException extends Exception {
    /** Makes an exception. */
    public ProcessException(String message) {
        super(message);
    }

    /** Makes an exception with the failure below it. */
    public ProcessException(String message, Throwable cause) {
        super(message, cause);
    }
}
