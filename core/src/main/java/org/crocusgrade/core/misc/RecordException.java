package org.crocusgrade.core.misc;

import java.util.Objects;

/** A record of the platform's service that cannot be read. */
public final class RecordException extends Exception {
    /** What is wrong with the record. */
    public enum Kind {
        /** It is larger than any record that is written. */
        TOO_LARGE,
        /** It is not JSON, or a value has another type. */
        MALFORMED,
        /** It has a field that is not known. */
        UNKNOWN_FIELD,
        /** It lacks a field. */
        MISSING_FIELD,
        /** A value is out of its range. */
        OUT_OF_RANGE
    }

    private final Kind kind;

    /** Makes an exception of the kind. */
    public RecordException(Kind kind, String detail) {
        this(kind, detail, null);
    }

    /** Makes an exception of the kind with the failure below it. */
    public RecordException(Kind kind, String detail, Throwable cause) {
        super(kind + ": " + detail, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns what is wrong. */
    public Kind kind() {
        return kind;
    }
}
