package org.crocusgrade.peer;

/** The link between daemons cannot work. */
public final class PeerException extends Exception {
    /** Makes an exception with the failure below it. */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
