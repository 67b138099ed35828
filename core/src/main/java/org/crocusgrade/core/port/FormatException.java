package org.crocusgrade.core.port;

/** Stored or received bytes that do not have the expected format. */
public final class FormatException extends Exception {
    /** Creates an exception without a cause. */
    public FormatException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public FormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
