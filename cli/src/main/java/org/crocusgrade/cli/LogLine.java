package org.crocusgrade.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line that a daemon wrote: keys and values.
 *
 * @param source the daemon, if the line says so before its keys, else where the line was found
 * @param time when, as written
 * @param event what it tells
 * @param fields all keys and values, in their order
 */
record LogLine(String source, String time, String event, Map<String, String> fields) {
    private static final Pattern FIELD = Pattern.compile("([a-z-]+)=(\"[^\"]*\"|\\S*)");

    /** Checks the fields and copies the map. */
    LogLine {
        Objects.requireNonNull(source);
        Objects.requireNonNull(time);
        Objects.requireNonNull(event);
        fields = Map.copyOf(fields);
    }

    /** Reads a line; empty if it is none of a daemon's events. */
    static Optional<LogLine> parse(String found, String line) {
        int start = line.indexOf("ts=");
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(line.substring(start));
        while (field.find()) {
            String value = field.group(2);
            boolean quoted = value.length() > 1 && value.startsWith("\"");
            fields.putIfAbsent(
                    field.group(1), quoted ? value.substring(1, value.length() - 1) : value);
        }
        if (!fields.containsKey("event")) {
            return Optional.empty();
        }
        String[] before = line.substring(0, start).trim().split("\\s+");
        String named = before[before.length - 1];
        return Optional.of(
                new LogLine(
                        named.isEmpty() ? found : named,
                        fields.get("ts"),
                        fields.get("event"),
                        fields));
    }

    String get(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns whether the line is about a submission or one of its tasks. */
    boolean isAbout(String submission) {
        return get("id").equals(submission)
                || get("task").startsWith(submission + ".")
                || get("step").startsWith(submission + ".");
    }
}
