package org.crocusgrade.core.misc;

import java.util.Objects;

/** Thrown when a record stored in the platform's service cannot be decoded. */
public final class RecordException extends Exception {
    /** What is wrong with the record. */
    public enum Kind {
        /** The record exceeds the maximum size of its kind. */
        TOO_LARGE,
        /** The record is not JSON, or a value has the wrong type. */
        MALFORMED,
        /** The record has an unknown field. */
        UNKNOWN_FIELD,
        /** The record lacks a required field. */
        MISSING_FIELD,
        /** A value is out of range. */
        OUT_OF_RANGE
    }

    private final Kind kind;

    /** Creates an exception without a cause. */
    public RecordException(Kind kind, String detail) {
        this(kind, detail, null);
    }

    /** Creates an exception; the cause may be null. */
    public RecordException(Kind kind, String detail, Throwable cause) {
        super(kind + ": " + detail, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns what is wrong. */
    public Kind kind() {
        return kind;
    }
}
