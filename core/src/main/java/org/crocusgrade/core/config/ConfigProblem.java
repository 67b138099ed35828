package org.crocusgrade.core.config;

import java.util.Objects;

/**
 * One fault of one file.
 *
 * @param message which fault
 * @param text the fault's sentence with its details
 * @param file the file's name as the operator gave it
 * @param line the line, from 1; 0 for the file as a whole
 * @param key the section and key, such as {@code [budget] max-unavailable}; may be empty
 * @param accepted what would be valid; may be empty
 */
public record ConfigProblem(
        ConfigMessage message, String text, String file, int line, String key, String accepted) {
    /** Checks that no field is missing. */
    public ConfigProblem {
        Objects.requireNonNull(message);
        Objects.requireNonNull(text);
        Objects.requireNonNull(file);
        Objects.requireNonNull(key);
        Objects.requireNonNull(accepted);
    }

    /** Returns one line for people: file, line, key, fault, and what would be valid. */
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
