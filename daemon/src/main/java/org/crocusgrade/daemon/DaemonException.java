package org.crocusgrade.daemon;

/** The daemon cannot start. */
public final class DaemonException extends Exception {
    /** Makes an exception with the failure below it. */
    public DaemonException(String message, Throwable cause) {
        super(message, cause);
    }
}
