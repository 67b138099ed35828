package org.crocusgrade.core.config;

/** Parses and validates the value of a key or option. */
public interface ValueParser<T> {
    /** Parses a value; throws if it is invalid. */
    T parse(String text) throws ValueException;

    /** Describes the valid values for messages. */
    String accepted();

    /** Returns an invalid value as messages may quote it; parsers of secrets mask it. */
    default String shown(String text) {
        return text;
    }
}
