package org.crocusgrade.cli;

/** How a command ended. */
public enum ExitCode {
    /** Done. */
    DONE(0),
    /** Refused: what was asked for is not valid, or was overtaken. */
    REFUSED(1),
    /** The command line is not valid. */
    USAGE(2),
    /** The platform or a daemon was not reached, or did not take part in time. */
    UNREACHABLE(3);

    /** The process's exit code. */
    public final int code;

    ExitCode(int code) {
        this.code = code;
    }
}
