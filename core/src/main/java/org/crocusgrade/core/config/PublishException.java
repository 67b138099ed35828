package org.crocusgrade.core.config;

import java.util.Objects;

/** Thrown when a publish failed, or when its outcome is unknown. */
public final class PublishException extends Exception {
    /** Why a publish failed. */
    public enum Kind {
        /** A concurrent publish changed one of the same services. Nothing was changed. */
        OVERTAKEN("overtaken"),
        /** Too many attempts lost the race against concurrent publishes. Nothing was changed. */
        CROWDED("crowded"),
        /** The store was unreachable or rejected the operation. Nothing was changed. */
        STORE_FAILED("store-failed"),
        /**
         * The outcome is unknown: the answer to a write of the head was lost, and reading back
         * could not settle whether it took effect.
         */
        UNRESOLVED("unresolved");

        /** The code, as in JSON output. */
        public final String code;

        Kind(String code) {
            this.code = code;
        }
    }

    private final Kind kind;

    /** Creates an exception that has no cause. */
    public PublishException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Creates an exception with the failure that caused it. */
    public PublishException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    public Kind kind() {
        return kind;
    }
}
