package org.crocusgrade.cli;

import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.config.ConfigProblem;

/** A command that did not do what it was asked for. */
public final class CliException extends Exception {
    private final CliMessage reason;
    private final transient List<ConfigProblem> problems;

    /** Makes an exception from a message and its details. */
    public CliException(CliMessage reason, Object... details) {
        super(reason.text(details));
        this.reason = Objects.requireNonNull(reason);
        this.problems = List.of();
    }

    /** Makes an exception from files that are not valid. */
    public CliException(List<ConfigProblem> problems) {
        super(
                CliMessage.INVALID.text(
                        problems.size() + (problems.size() == 1 ? " problem" : " problems")));
        this.reason = CliMessage.INVALID;
        this.problems = List.copyOf(problems);
    }

    /** Returns the faults of files that are not valid. */
    public List<ConfigProblem> problems() {
        return problems;
    }

    /** Returns the message. */
    public CliMessage reason() {
        return reason;
    }
}
