package org.crocusgrade.core.port;

import java.util.Objects;

/** A failed call on the platform's key-value service. */
public final class StoreException extends Exception {
    /** What is known about the effect of a failed call. */
    public enum Kind {
        /** The revision of an entry was not the expected one. Nothing was written. */
        CONFLICT,
        /** The lease of the call has expired or never existed. Nothing was written. */
        LEASE_LOST,
        /** The call never reached the service. Nothing was written. */
        UNREACHED,
        /** No answer arrived; the write may have taken effect. */
        ANSWER_LOST,
        /** The service refused the call as malformed, too large or too frequent. */
        REFUSED
    }

    private final Kind kind;

    /** Creates an exception without a cause. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Creates an exception with its cause. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns what is known about the effect of the call. */
    public Kind kind() {
        return kind;
    }
}
