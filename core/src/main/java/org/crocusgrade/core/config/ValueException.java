package org.crocusgrade.core.config;

import java.util.Objects;

/** Thrown when a value does not have the required syntax, unit or range. */
public final class ValueException extends Exception {
    private final ConfigMessage reason;

    /** Creates an exception whose message is the code of the reason. */
    public ValueException(ConfigMessage reason) {
        super(reason.code);
        this.reason = Objects.requireNonNull(reason);
    }

    /** Returns the kind of problem. */
    public ConfigMessage reason() {
        return reason;
    }
}
