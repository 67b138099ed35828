package org.crocusgrade.core.config;

/**
 * The problems that reading configuration can report, each with its code, message template and
 * severity.
 */
public enum ConfigMessage {
    /** The file exceeds the size limit. */
    FILE_TOO_LARGE("file-too-large", "the file is larger than %s", Severity.ERROR),
    /** The file is not valid UTF-8, or the INI library cannot parse it. */
    NOT_TEXT("not-text", "the file is not UTF-8 text: %s", Severity.ERROR),
    /** A line is not a comment, a section heading or a key with a value. */
    BAD_LINE("bad-line", "cannot read '%s'", Severity.ERROR),
    /** A key precedes the first section heading. */
    KEY_OUTSIDE_SECTION("key-outside-section", "'%s' is not in any section", Severity.ERROR),
    /** Files of this kind do not have this section. */
    UNKNOWN_SECTION("unknown-section", "unknown section '%s'", Severity.ERROR),
    /** The section heading occurs twice. */
    DUPLICATE_SECTION(
            "duplicate-section", "section '%s' is already defined in line %s", Severity.ERROR),
    /** A section that contains a required key is missing. */
    MISSING_SECTION("missing-section", "section '%s' is missing", Severity.ERROR),
    /** The section does not have this key. */
    UNKNOWN_KEY("unknown-key", "unknown key '%s'", Severity.ERROR),
    /** The section has the key twice. */
    DUPLICATE_KEY("duplicate-key", "key '%s' is already defined in line %s", Severity.ERROR),
    /** A required key is missing. */
    MISSING_KEY("missing-key", "key '%s' is missing", Severity.ERROR),
    /** The value does not have the required syntax. */
    BAD_VALUE("bad-value", "'%s' is not valid", Severity.ERROR),
    /** The value has no unit, or one that the key does not accept. */
    WRONG_UNIT("wrong-unit", "'%s' does not have the right unit", Severity.ERROR),
    /** The value is too small or too large. */
    OUT_OF_RANGE("out-of-range", "'%s' is out of range", Severity.ERROR),
    /** Two values of one file contradict each other. */
    CONTRADICTION("contradiction", "%s", Severity.ERROR),
    /** The availability budget cannot be met. */
    BUDGET_CANNOT_HOLD("budget-cannot-hold", "the budget cannot be met: %s", Severity.ERROR),
    /** A pool is named that does not belong to any service. */
    UNKNOWN_POOL("unknown-pool", "no service has the pool '%s'", Severity.ERROR),
    /** The pool already belongs to another service. */
    POOL_TAKEN("pool-taken", "pool '%s' already belongs to service '%s'", Severity.ERROR),
    /** Two files describe the same service. */
    DUPLICATE_SERVICE(
            "duplicate-service", "service '%s' is already described by '%s'", Severity.ERROR),
    /** A stored file is missing, or does not match its digest or its service. */
    DIGEST_MISMATCH(
            "digest-mismatch",
            "the stored file is missing or does not match its digest",
            Severity.ERROR),
    /** The stored list of services cannot be read. */
    BAD_HEAD("bad-head", "the stored list of services cannot be read: %s", Severity.ERROR),
    /** The configuration has more services than allowed. */
    TOO_MANY_SERVICES("too-many-services", "there are too many services: %s", Severity.ERROR),
    /**
     * The pool can never reach max-workers, since all pools together usually have fewer workers.
     */
    MAX_OVER_FLEET(
            "max-over-fleet",
            "max-workers is %s, but all pools together usually hold %s",
            Severity.WARNING);

    /** The code, as in JSON output. */
    public final String code;

    /** Whether the problem makes the configuration invalid. */
    public final Severity severity;

    private final String template;

    ConfigMessage(String code, String template, Severity severity) {
        this.code = code;
        this.template = template;
        this.severity = severity;
    }

    /** Returns the message with its details filled in. */
    public String text(Object... details) {
        return String.format(template, details);
    }

    /** Whether a problem makes the configuration invalid. */
    public enum Severity {
        /** The problem is only reported. */
        WARNING,
        /** The configuration is rejected. */
        ERROR
    }
}
