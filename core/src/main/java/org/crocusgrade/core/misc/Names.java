package org.crocusgrade.core.misc;

import java.util.Objects;
import java.util.regex.Pattern;

/** Validates the text of names and ids. */
public final class Names {
    /** Maximum length of a name, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Names() {}

    /**
     * Returns whether the text is a valid name: 1 to {@value #MAX_LENGTH} ASCII letters, digits,
     * dots, underscores and hyphens, of which the first is a letter or a digit.
     */
    public static boolean isName(String text) {
        return text != null && text.length() <= MAX_LENGTH && NAME.matcher(text).matches();
    }

    /**
     * Returns the text if it is a valid name; see {@link #isName}.
     *
     * @param kind what the text names, for the message
     * @throws IllegalArgumentException if the text is not a valid name
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
