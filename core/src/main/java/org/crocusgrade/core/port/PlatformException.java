package org.crocusgrade.core.port;

/** A call on the platform's host list or host control that failed. */
public final class PlatformException extends Exception {
    /** Makes an exception with the failure below it. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Makes an exception. */
    public PlatformException(String message) {
        super(message);
    }
}
