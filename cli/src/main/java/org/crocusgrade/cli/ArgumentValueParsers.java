package org.crocusgrade.cli;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.crocusgrade.core.config.ConfigMessage;
import org.crocusgrade.core.config.ValueException;
import org.crocusgrade.core.config.ValueParser;

/** Parsers of argument values that do not occur in configuration files. */
final class ArgumentValueParsers {
    private static final int MAX_WORD_CHARS = 256;

    private ArgumentValueParsers() {}

    /** Returns a parser of file paths; the file need not exist. */
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

    /**
     * Returns a parser of any non-empty text of up to {@link #MAX_WORD_CHARS} characters.
     *
     * @param accepted the description for messages
     */
    static ValueParser<String> text(String accepted) {
        return new ValueParser<>() {
            @Override
            public String parse(String text) throws ValueException {
                if (text.isEmpty() || text.length() > MAX_WORD_CHARS) {
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
