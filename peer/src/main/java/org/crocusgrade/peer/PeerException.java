package org.crocusgrade.peer;

/** The link between daemons cannot be started. */
public final class PeerException extends Exception {
    /** Makes an exception with its cause. */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
