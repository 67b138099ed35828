package org.crocusgrade.cli;

import java.util.List;

/** One command of {@code crocusgrade}. */
public interface Command {
    /** Returns the name as typed, such as {@code publish} or {@code config show}. */
    String name();

    /** Returns the one-sentence description shown by {@code --help}. */
    String help();

    /**
     * Returns the options, except those common to all commands, and the positional arguments in
     * order.
     */
    List<Option<?>> options();

    /** Runs the command; all output is written through the invocation. */
    ExitCode run(Invocation invocation) throws CliException;
}
