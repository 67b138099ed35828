package org.crocusgrade.core.misc;

import java.util.Objects;
import java.util.regex.Pattern;

/** Checks the text of names and ids before it becomes a value type. */
public final class Names {
    /** Longest accepted name, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Names() {}

    /** Returns whether the text is a name: letters, digits, dot, underscore, hyphen. */
    public static boolean isName(String text) {
        return text != null && text.length() <= MAX_LENGTH && NAME.matcher(text).matches();
    }

    /**
     * Returns the text when it is a name.
     *
     * @throws IllegalArgumentException if it is empty, too long or holds another character
     */
    public static String requireName(String kind, String text) {
        Objects.requireNonNull(text, kind);
        if (!isName(text)) {
            throw new IllegalArgumentException(
                    kind + " must be 1 to 128 letters, digits, '.', '_' or '-'");
        }
        return text;
    }
}
