package org.crocusgrade.cli;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.crocusgrade.core.config.ConfigMessage;
import org.crocusgrade.core.config.ValueException;
import org.crocusgrade.core.config.ValueParser;

/** The forms of arguments that no file has. */
final class Forms {
    private static final int MAX_WORD = 256;

    private Forms() {}

    /** A file's path. */
    static ValueParser<Path> file() {
        return new ValueParser<>() {
            @Override
            public Path parse(String text) throws ValueException {
                try {
                    return Path.of(text);
                } catch (InvalidPathException e) {
                    throw new ValueException(ConfigMessage.BAD_VALUE);
                }
            }

            @Override
            public String accepted() {
                return "a file";
            }
        };
    }

    /** Any short text. */
    static ValueParser<String> text(String accepted) {
        return new ValueParser<>() {
            @Override
            public String parse(String text) throws ValueException {
                if (text.isEmpty() || text.length() > MAX_WORD) {
                    throw new ValueException(ConfigMessage.BAD_VALUE);
                }
                return text;
            }

            @Override
            public String accepted() {
                return accepted;
            }
        };
    }
}
