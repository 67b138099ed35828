package org.crocusgrade.cli;

import java.util.Objects;
import org.crocusgrade.core.config.ValueParser;
import org.crocusgrade.core.config.ValueParsers;

/**
 * One option or argument of a command.
 *
 * @param name with leading dashes for an option, without them for an argument by position
 * @param form the form of its value; of each of its values if there may be many
 * @param absent its value when it is not given; null if there is none
 * @param arity how many values it takes
 * @param help what it is for
 */
public record Option<T>(String name, ValueParser<T> form, T absent, Arity arity, String help) {
    /** Checks the fields. */
    public Option {
        Objects.requireNonNull(name);
        Objects.requireNonNull(form);
        Objects.requireNonNull(arity);
        Objects.requireNonNull(help);
    }

    /** How many values an option takes. */
    public enum Arity {
        /** None: it is there or not. */
        FLAG,
        /** One, or the default. */
        ONE,
        /** One, always. */
        REQUIRED,
        /** One or more. */
        MANY,
        /** Any number, also none. */
        ANY
    }

    /** An option with one value. */
    public static <T> Option<T> of(String name, ValueParser<T> form, T absent, String help) {
        return new Option<>(name, form, absent, Arity.ONE, help);
    }

    /** An option that is there or not. */
    public static Option<Boolean> flag(String name, String help) {
        return new Option<>(name, ValueParsers.yesNo(), false, Arity.FLAG, help);
    }

    /** An argument or option that must be given. */
    public static <T> Option<T> required(String name, ValueParser<T> form, String help) {
        return new Option<>(name, form, null, Arity.REQUIRED, help);
    }

    /** One or more values. */
    public static <T> Option<T> many(String name, ValueParser<T> form, String help) {
        return new Option<>(name, form, null, Arity.MANY, help);
    }

    /** Any number of values, also none. */
    public static <T> Option<T> any(String name, ValueParser<T> form, String help) {
        return new Option<>(name, form, null, Arity.ANY, help);
    }
}
