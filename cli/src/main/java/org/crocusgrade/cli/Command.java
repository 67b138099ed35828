package org.crocusgrade.cli;

import java.util.List;

/** One command of {@code crocusgrade}. */
public interface Command {
    /** Its words, such as {@code publish} or {@code config show}. */
    String name();

    /** One sentence on what it does. */
    String help();

    /** Its options besides the common ones, and its arguments in order. */
    List<Option<?>> options();

    /** Runs it; what it prints goes through the invocation. */
    ExitCode run(Invocation call) throws CliException;
}
