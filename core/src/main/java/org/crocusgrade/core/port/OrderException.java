package org.crocusgrade.core.port;

import java.util.Objects;

/** A failed order to a worker: it was refused, or no valid answer arrived. */
public final class OrderException extends Exception {
    /** What is known about the effect of the order. */
    public enum Kind {
        /** The order was never sent. */
        NOT_SENT,
        /** No answer arrived; the order may have been carried out or may still be. */
        NO_ANSWER,
        /** Another incarnation of the worker answered; nothing was done. */
        OTHER_INCARNATION,
        /** The worker refused: it has received a higher fencing token. */
        FENCED,
        /** The worker refused for a reason that this version does not recognize. */
        REFUSED
    }

    private final Kind kind;
    private final boolean connectionLost;

    /** Creates an exception of a kind. */
    public OrderException(Kind kind, String message) {
        this(kind, message, false);
    }

    /**
     * Creates an exception of a kind.
     *
     * @param connectionLost whether the worker closed or refused the connection
     */
    public OrderException(Kind kind, String message, boolean connectionLost) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
        this.connectionLost = connectionLost;
    }

    /** Returns what is known about the effect of the order. */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns whether the worker closed or refused the connection, as it does when its process
     * ends. A worker that is cut off or frozen lets calls time out instead.
     */
    public boolean isConnectionLost() {
        return connectionLost;
    }
}
