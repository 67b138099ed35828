package org.crocusgrade.cli;

import java.util.Objects;
import org.crocusgrade.core.config.ValueParser;
import org.crocusgrade.core.config.ValueParsers;

/**
 * One option or argument of a command.
 *
 * @param name the name: with leading dashes for an option, without them for a positional argument
 * @param parser the parser of its value, or of each of its values
 * @param defaultValue the default value; null if there is none
 * @param arity the number of values it takes
 * @param help the description shown by {@code --help}
 */
public record Option<T>(
        String name, ValueParser<T> parser, T defaultValue, Arity arity, String help) {
    /** Checks the fields. */
    public Option {
        Objects.requireNonNull(name);
        Objects.requireNonNull(parser);
        Objects.requireNonNull(arity);
        Objects.requireNonNull(help);
    }

    /** The number of values that an option takes. */
    public enum Arity {
        /** None; its presence is the value. */
        FLAG,
        /** One; if absent, the default applies. */
        ONE,
        /** Exactly one. */
        REQUIRED,
        /** One or more. */
        MANY,
        /** Zero or more. */
        ANY
    }

    /** Creates an optional option or argument with one value. */
    public static <T> Option<T> of(
            String name, ValueParser<T> parser, T defaultValue, String help) {
        return new Option<>(name, parser, defaultValue, Arity.ONE, help);
    }

    /** Creates an option without a value; it is true if present. */
    public static Option<Boolean> flag(String name, String help) {
        return new Option<>(name, ValueParsers.yesNo(), false, Arity.FLAG, help);
    }

    /** Creates a required option or argument with one value. */
    public static <T> Option<T> required(String name, ValueParser<T> parser, String help) {
        return new Option<>(name, parser, null, Arity.REQUIRED, help);
    }

    /** Creates an option or argument with one or more values. */
    public static <T> Option<T> many(String name, ValueParser<T> parser, String help) {
        return new Option<>(name, parser, null, Arity.MANY, help);
    }

    /** Creates an option or argument with zero or more values. */
    public static <T> Option<T> any(String name, ValueParser<T> parser, String help) {
        return new Option<>(name, parser, null, Arity.ANY, help);
    }
}
