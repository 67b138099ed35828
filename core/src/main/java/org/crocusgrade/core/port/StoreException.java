package org.crocusgrade.core.port;

import java.util.Objects;

/** A call on the platform's key-value service that did not succeed. */
public final class StoreException extends Exception {
    /** What is known of a failed call. */
    public enum Kind {
        /** The service refused: the entry's revision was another. Nothing was written. */
        CONFLICT,
        /** The lease named by the call has lapsed or never was. Nothing was written. */
        LEASE_LOST,
        /** The call never reached the service. Nothing was written. */
        UNREACHED,
        /** No answer came; the write may have taken effect. */
        ANSWER_LOST,
        /** The service refused the call as malformed, too large or too frequent. */
        REFUSED
    }

    private final Kind kind;

    /** Makes an exception of the kind. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Makes an exception of the kind with the failure below it. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns what is known of the call. */
    public Kind kind() {
        return kind;
    }
}
