package org.crocusgrade.daemon;

/** Thrown if the daemon cannot start. */
public final class DaemonException extends Exception {
    /** Creates an exception with the underlying failure. */
    public DaemonException(String message, Throwable cause) {
        super(message, cause);
    }
}
