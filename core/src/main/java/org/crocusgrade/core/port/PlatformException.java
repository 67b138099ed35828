package org.crocusgrade.core.port;

/** A failed call on a platform interface other than the key-value store and worker orders. */
public final class PlatformException extends Exception {
    /** Creates an exception with its cause. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception without a cause. */
    public PlatformException(String message) {
        super(message);
    }
}
