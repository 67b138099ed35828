package org.crocusgrade.core.config;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when configuration is invalid; carries every problem found. */
public final class ConfigException extends Exception {
    private final transient List<ConfigProblem> problems;

    /** Creates an exception whose message lists the problems, one per line. */
    public ConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, in the order given to the constructor. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
