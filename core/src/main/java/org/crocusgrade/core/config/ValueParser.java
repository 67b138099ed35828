package org.crocusgrade.core.config;

/** The form that a key's value must have. */
public interface ValueParser<T> {
    /** Reads the value. */
    T parse(String text) throws ValueException;

    /** Describes the values that are valid, with an example where it helps. */
    String accepted();

    /** Returns a value that is not valid as a message may show it. */
    default String shown(String text) {
        return text;
    }
}
