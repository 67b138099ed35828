package org.crocusgrade.cli;

/** The failures that commands report, each with its code, message template and exit code. */
public enum CliMessage {
    /** The value of an argument or option is invalid. */
    BAD_ARGUMENT("bad-argument", "%s: '%s' is not valid; accepted: %s", ExitCode.USAGE),
    /** No platform address was given. */
    NO_PLATFORM(
            "no-platform",
            "no platform given; accepted: --platform IP:PORT, CROCUSGRADE_PLATFORM=IP:PORT, or"
                    + " CROCUSGRADE_CLIENT=FILE with [platform] service = IP:PORT",
            ExitCode.USAGE),
    /** A file cannot be read. */
    UNREADABLE_FILE("unreadable-file", "%s: cannot be read: %s", ExitCode.REFUSED),
    /** Configuration files are invalid. */
    INVALID("invalid", "not valid: %s", ExitCode.REFUSED),
    /** A publish was rejected; nothing was changed. */
    NOT_PUBLISHED("not-published", "%s", ExitCode.REFUSED),
    /** The outcome of a publish is unknown. */
    UNRESOLVED("unresolved", "%s", ExitCode.UNREACHABLE),
    /** Some daemons do not have the published version yet. */
    NOT_IN_FORCE(
            "not-in-force",
            "version %s is published, but after %s not in force at: %s",
            ExitCode.UNREACHABLE),
    /** A request to the platform's key-value service failed. */
    PLATFORM_FAILED("platform-failed", "the platform's service at %s: %s", ExitCode.UNREACHABLE),
    /** None of the listed daemons answered. */
    NO_DAEMON("no-daemon", "no daemon answered; listed: %s", ExitCode.UNREACHABLE),
    /** The subject of {@code explain} is neither a reason code nor a host. */
    NOT_FOUND("not-found", "'%s' is neither a reason nor a host; reasons: %s", ExitCode.REFUSED),
    /** The logs have no line that concerns the submission. */
    NOT_IN_LOGS("not-in-logs", "none of %2$d log lines concerns '%1$s'", ExitCode.REFUSED),
    /** The stored configuration has no such service. */
    NO_SUCH_SERVICE("no-such-service", "there is no service '%s'; there are: %s", ExitCode.REFUSED),
    /** A command failed for another reason, or was interrupted. */
    FAILED("failed", "%s", ExitCode.REFUSED);

    /** The code, as in JSON output. */
    public final String code;

    /** The exit code of a command that fails with this message. */
    public final ExitCode exit;

    private final String template;

    CliMessage(String code, String template, ExitCode exit) {
        this.code = code;
        this.template = template;
        this.exit = exit;
    }

    /** Returns the message with its details filled in. */
    public String text(Object... details) {
        return String.format(template, details);
    }
}
