package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the problems found in one file, or between files. */
public final class Problems {
    /** Maximum number of problems kept; further ones are dropped. */
    private static final int MAX_PROBLEMS = 50;

    /** Maximum length, in characters, of file text quoted in a message. */
    private static final int MAX_SHOWN_CHARS = 60;

    private final String file;
    private final List<ConfigProblem> list = new ArrayList<>();

    public Problems(String file) {
        this.file = file;
    }

    public String file() {
        return file;
    }

    /** Adds a problem of this file. */
    public void add(
            ConfigMessage message, int line, String key, String accepted, Object... details) {
        if (list.size() < MAX_PROBLEMS) {
            list.add(new ConfigProblem(message, message.text(details), file, line, key, accepted));
        }
    }

    /** Adds a problem between files, reported for the named one. */
    void addFor(
            String named,
            int line,
            ConfigMessage message,
            String key,
            String accepted,
            Object... details) {
        if (list.size() < MAX_PROBLEMS) {
            list.add(new ConfigProblem(message, message.text(details), named, line, key, accepted));
        }
    }

    /** Returns the problems added so far, sorted by file and line. */
    public List<ConfigProblem> list() {
        return list.stream()
                .sorted(
                        Comparator.comparing(ConfigProblem::file)
                                .thenComparingInt(ConfigProblem::line))
                .toList();
    }

    /** Returns whether no problem is an error. */
    public boolean ok() {
        return list.stream().noneMatch(p -> p.message().severity == ConfigMessage.Severity.ERROR);
    }

    /** Throws with all problems if at least one is an error. */
    public void check() throws ConfigException {
        if (!ok()) {
            throw new ConfigException(list());
        }
    }

    /**
     * Returns file text made safe for a message: truncated, with control characters replaced by
     * {@code ?}.
     */
    static String shown(String text) {
        String cut =
                text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
        return cut.replaceAll("\\p{Cntrl}", "?");
    }
}
