package org.crocusgrade.core.port;

import java.util.Objects;

/** An order to a worker that has no usable answer. */
public final class OrderException extends Exception {
    /** What is known of the order. */
    public enum Kind {
        /** It never left this daemon. */
        NOT_SENT,
        /** It may have been carried out, or may be later. */
        NO_ANSWER,
        /** Another incarnation of the worker answered; nothing was done. */
        OTHER_INCARNATION,
        /** The worker refuses this daemon: it has seen a higher fencing token. */
        FENCED,
        /** The worker refused for a reason that is not known here. */
        REFUSED
    }

    private final Kind kind;

    /** Makes an exception. */
    public OrderException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns what is known of the order. */
    public Kind kind() {
        return kind;
    }
}
