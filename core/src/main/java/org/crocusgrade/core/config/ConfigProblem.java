package org.crocusgrade.core.config;

import java.util.Objects;

/**
 * One problem of one configuration file.
 *
 * @param message the kind of problem
 * @param text the message with its details
 * @param file the file's name as the operator gave it
 * @param line the line number, from 1; 0 if the problem concerns the whole file
 * @param key the section and key, such as {@code [budget] max-unavailable}; may be empty
 * @param accepted the values that would be valid; may be empty
 */
public record ConfigProblem(
        ConfigMessage message, String text, String file, int line, String key, String accepted) {
    /** Throws NullPointerException if a field is null. */
    public ConfigProblem {
        Objects.requireNonNull(message);
        Objects.requireNonNull(text);
        Objects.requireNonNull(file);
        Objects.requireNonNull(key);
        Objects.requireNonNull(accepted);
    }

    /**
     * Returns one line for display: file, line, key, message, and the values that would be valid.
     */
    @Override
    public String toString() {
        StringBuilder sb = new StringBuilder(file);
        if (line > 0) {
            sb.append(':').append(line);
        }
        sb.append(": ");
        if (!key.isEmpty()) {
            sb.append(key).append(": ");
        }
        sb.append(text);
        if (!accepted.isEmpty()) {
            sb.append("; accepted: ").append(accepted);
        }
        return sb.toString();
    }
}
