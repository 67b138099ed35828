package org.crocusgrade.cli;

/** The exit codes of the command line. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The request was invalid, conflicted with a concurrent publish, or failed. */
    REFUSED(1),
    /** The command line is invalid. */
    USAGE(2),
    /**
     * The platform or a daemon was unreachable, or a daemon did not have the published version in
     * time.
     */
    UNREACHABLE(3);

    /** The exit status of the process. */
    public final int code;

    ExitCode(int code) {
        this.code = code;
    }
}
