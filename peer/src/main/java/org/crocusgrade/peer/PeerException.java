package org.crocusgrade.peer;

/** Thrown when the link between daemons cannot be started. */
public final class PeerException extends Exception {
    /** Creates an exception with its cause. */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
