package org.crocusgrade.core.config;

import java.util.Objects;

/** A value that is not of its key's form. */
public final class ValueException extends Exception {
    private final ConfigMessage reason;

    /** Makes an exception with the fault's message. */
    public ValueException(ConfigMessage reason) {
        super(reason.code);
        this.reason = Objects.requireNonNull(reason);
    }

    /** Returns the fault's message. */
    public ConfigMessage reason() {
        return reason;
    }
}
