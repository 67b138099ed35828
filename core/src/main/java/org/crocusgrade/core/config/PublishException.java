package org.crocusgrade.core.config;

import java.util.Objects;

/** A publish that did not take effect, or of which that is not known. */
public final class PublishException extends Exception {
    /** Why the publish ended. */
    public enum Kind {
        /** Another publish changed one of the same services meanwhile. Nothing was changed. */
        OVERTAKEN("overtaken"),
        /** Other publishes came first too often. Nothing was changed. */
        CROWDED("crowded"),
        /** The store was not reached or refused. Nothing was changed. */
        STORE_FAILED("store-failed"),
        /** The store lost an answer and could not be asked again: it may have taken effect. */
        UNRESOLVED("unresolved");

        /** The code, as in JSON output. */
        public final String code;

        Kind(String code) {
            this.code = code;
        }
    }

    private final Kind kind;

    /** Makes an exception of the kind. */
    public PublishException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Makes an exception of the kind with the failure below it. */
    public PublishException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns why the publish ended. */
    public Kind kind() {
        return kind;
    }
}
