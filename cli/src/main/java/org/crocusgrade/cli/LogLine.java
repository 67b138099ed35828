package org.crocusgrade.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event of a daemon's log, as keys and values.
 *
 * @param source the daemon, if a word before the keys names it, else the log file that contains the
 *     line
 * @param time the time of the event, as written
 * @param event the name of the event
 * @param fields all keys and values; of a repeated key, the first value
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

    /** Parses a line; returns empty if it is not an event of a daemon. */
    static Optional<LogLine> parse(String logFile, String line) {
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
        String daemon = before[before.length - 1];
        return Optional.of(
                new LogLine(
                        daemon.isEmpty() ? logFile : daemon,
                        fields.get("ts"),
                        fields.get("event"),
                        fields));
    }

    String get(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns whether the line concerns a submission, one of its steps or one of its tasks. */
    boolean concerns(String submission) {
        return get("id").equals(submission)
                || get("task").startsWith(submission + ".")
                || get("step").startsWith(submission + ".");
    }
}
