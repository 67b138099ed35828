package org.crocusgrade.cli;

import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.config.ConfigProblem;

/** Thrown when a command fails. */
public final class CliException extends Exception {
    private final CliMessage reason;
    private final transient List<ConfigProblem> problems;

    /** Creates an exception from a message and the details that fill its template. */
    public CliException(CliMessage reason, Object... details) {
        super(reason.text(details));
        this.reason = Objects.requireNonNull(reason);
        this.problems = List.of();
    }

    /** Creates an exception for invalid files. */
    public CliException(List<ConfigProblem> problems) {
        super(
                CliMessage.INVALID.text(
                        problems.size() + (problems.size() == 1 ? " problem" : " problems")));
        this.reason = CliMessage.INVALID;
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems of invalid files; empty for other failures. */
    public List<ConfigProblem> problems() {
        return problems;
    }

    /** Returns the kind of failure. */
    public CliMessage reason() {
        return reason;
    }
}
