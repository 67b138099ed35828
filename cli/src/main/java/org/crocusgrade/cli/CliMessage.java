package org.crocusgrade.cli;

/** Every message of the command line, with its code, template and exit code. */
public enum CliMessage {
    /** An argument is not of its form. */
    BAD_ARGUMENT("bad-argument", "%s: '%s' is not valid; accepted: %s", ExitCode.USAGE),
    /** No platform address was given. */
    NO_PLATFORM(
            "no-platform",
            "no platform given; accepted: --platform IP:PORT, CROCUSGRADE_PLATFORM=IP:PORT, or"
                    + " CROCUSGRADE_CLIENT=FILE with [platform] service = IP:PORT",
            ExitCode.USAGE),
    /** A file cannot be read. */
    UNREADABLE_FILE("unreadable-file", "%s: cannot be read: %s", ExitCode.REFUSED),
    /** Files are not valid. */
    INVALID("invalid", "not valid: %s", ExitCode.REFUSED),
    /** A publish did not take effect. */
    NOT_PUBLISHED("not-published", "%s", ExitCode.REFUSED),
    /** The outcome of a publish is not known. */
    UNRESOLVED("unresolved", "%s", ExitCode.UNREACHABLE),
    /** Some daemons do not have the published version yet. */
    NOT_IN_FORCE(
            "not-in-force",
            "version %s is published, but after %s not in force at: %s",
            ExitCode.UNREACHABLE),
    /** The platform's service failed. */
    PLATFORM_FAILED("platform-failed", "the platform's service at %s: %s", ExitCode.UNREACHABLE),
    /** No daemon answered. */
    NO_DAEMON("no-daemon", "no daemon answered; listed: %s", ExitCode.UNREACHABLE),
    /** Neither a reason nor a host of the name is known. */
    NOT_FOUND("not-found", "'%s' is neither a reason nor a host; reasons: %s", ExitCode.REFUSED),
    /** No line of the logs is about a submission. */
    NOT_IN_LOGS("not-in-logs", "none of %2$d lines is about '%1$s'", ExitCode.REFUSED),
    /** The stored configuration has no such service. */
    NO_SUCH_SERVICE("no-such-service", "there is no service '%s'; there are: %s", ExitCode.REFUSED),
    /** A command was broken off. */
    FAILED("failed", "%s", ExitCode.REFUSED);

    /** The code, as in JSON output. */
    public final String code;

    /** The exit code that goes with it. */
    public final ExitCode exit;

    private final String template;

    CliMessage(String code, String template, ExitCode exit) {
        this.code = code;
        this.template = template;
        this.exit = exit;
    }

    /** Returns the sentence with its details filled in. */
    public String text(Object... details) {
        return String.format(template, details);
    }
}
