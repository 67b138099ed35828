package org.crocusgrade.core.config;

import java.util.List;
import java.util.stream.Collectors;

/** Configuration that was refused, with every fault found. */
public final class ConfigException extends Exception {
    private final transient List<ConfigProblem> problems;

    /** Makes an exception from at least one fault. */
    public ConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the faults in the order of the file. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
