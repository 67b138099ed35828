package org.crocusgrade.core.port;

/** Bytes that do not say what they should. */
public final class FormatException extends Exception {
    /** Makes an exception. */
    public FormatException(String message) {
        super(message);
    }

    /** Makes an exception with the failure below it. */
    public FormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
