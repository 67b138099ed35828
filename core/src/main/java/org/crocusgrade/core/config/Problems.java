package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one file. */
public final class Problems {
    /** More faults than this are not reported. */
    private static final int MAX_PROBLEMS = 50;

    private static final int MAX_SHOWN = 60;

    private final String file;
    private final List<ConfigProblem> list = new ArrayList<>();

    /** Makes an empty collection for a file. */
    public Problems(String file) {
        this.file = file;
    }

    /** Returns the file's name. */
    public String file() {
        return file;
    }

    /** Adds a fault. */
    public void add(
            ConfigMessage message, int line, String key, String accepted, Object... details) {
        if (list.size() < MAX_PROBLEMS) {
            list.add(new ConfigProblem(message, message.text(details), file, line, key, accepted));
        }
    }

    /** Adds a fault between files, told of one of them. */
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

    /** Returns the faults so far, file by file in the order of lines. */
    public List<ConfigProblem> list() {
        return list.stream()
                .sorted(
                        Comparator.comparing(ConfigProblem::file)
                                .thenComparingInt(ConfigProblem::line))
                .toList();
    }

    /** Returns whether no fault refuses the file. */
    public boolean ok() {
        return list.stream().noneMatch(p -> p.message().severity == ConfigMessage.Severity.ERROR);
    }

    /** Throws if a fault refuses the file. */
    public void check() throws ConfigException {
        if (!ok()) {
            throw new ConfigException(list());
        }
    }

    /** Returns text of the file fit for a message: bounded, without control characters. */
    static String shown(String text) {
        String cut = text.length() > MAX_SHOWN ? text.substring(0, MAX_SHOWN) + "..." : text;
        return cut.replaceAll("\\p{Cntrl}", "?");
    }
}
