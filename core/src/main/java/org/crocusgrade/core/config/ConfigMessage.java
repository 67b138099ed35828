package org.crocusgrade.core.config;

/** Every fault that reading configuration can report, with its code, template and severity. */
public enum ConfigMessage {
    /** The file is over the bound. */
    FILE_TOO_LARGE("file-too-large", "the file is larger than %s", Severity.ERROR),
    /** The file is not text. */
    NOT_TEXT("not-text", "the file is not UTF-8 text: %s", Severity.ERROR),
    /** A line is neither a comment, nor a section, nor a key with a value. */
    BAD_LINE("bad-line", "cannot read '%s'", Severity.ERROR),
    /** A key stands before the first section. */
    KEY_OUTSIDE_SECTION("key-outside-section", "'%s' stands in no section", Severity.ERROR),
    /** The section is not known. */
    UNKNOWN_SECTION("unknown-section", "unknown section '%s'", Severity.ERROR),
    /** The section stands twice. */
    DUPLICATE_SECTION(
            "duplicate-section", "section '%s' stands already in line %s", Severity.ERROR),
    /** The section is missing. */
    MISSING_SECTION("missing-section", "section '%s' is missing", Severity.ERROR),
    /** The key is not known. */
    UNKNOWN_KEY("unknown-key", "unknown key '%s'", Severity.ERROR),
    /** The key stands twice. */
    DUPLICATE_KEY("duplicate-key", "key '%s' stands already in line %s", Severity.ERROR),
    /** The key is missing. */
    MISSING_KEY("missing-key", "key '%s' is missing", Severity.ERROR),
    /** The value is not of the accepted form. */
    BAD_VALUE("bad-value", "'%s' is not valid", Severity.ERROR),
    /** The value has no unit or another one. */
    WRONG_UNIT("wrong-unit", "'%s' does not have the right unit", Severity.ERROR),
    /** The value is too small or too large. */
    OUT_OF_RANGE("out-of-range", "'%s' is out of range", Severity.ERROR),
    /** Two values of one file contradict each other. */
    CONTRADICTION("contradiction", "%s", Severity.ERROR),
    /** The availability budget cannot hold. */
    BUDGET_CANNOT_HOLD("budget-cannot-hold", "the budget cannot hold: %s", Severity.ERROR),
    /** A pool is named that no service has. */
    UNKNOWN_POOL("unknown-pool", "no service has the pool '%s'", Severity.ERROR),
    /** Two services name the same pool. */
    POOL_TAKEN("pool-taken", "pool '%s' belongs to service '%s' already", Severity.ERROR),
    /** Two files describe the same service. */
    DUPLICATE_SERVICE(
            "duplicate-service", "service '%s' is described by '%s' already", Severity.ERROR),
    /** A stored file does not match its digest. */
    DIGEST_MISMATCH("digest-mismatch", "the stored file is not the published one", Severity.ERROR),
    /** The stored list of services cannot be read. */
    BAD_HEAD("bad-head", "the stored list of services cannot be read: %s", Severity.ERROR),
    /** The whole configuration is over the bound. */
    TOO_MANY_SERVICES("too-many-services", "%s services are too many", Severity.ERROR),
    /** The pool can never grow as far as its file allows. */
    MAX_OVER_FLEET(
            "max-over-fleet",
            "max-workers is %s, but all pools together usually hold %s",
            Severity.WARNING);

    /** The code, as in JSON output. */
    public final String code;

    /** Whether the fault refuses the configuration. */
    public final Severity severity;

    private final String template;

    ConfigMessage(String code, String template, Severity severity) {
        this.code = code;
        this.template = template;
        this.severity = severity;
    }

    /** Returns the sentence with its details filled in. */
    public String text(Object... details) {
        return String.format(template, details);
    }

    /** Whether a fault refuses the configuration. */
    public enum Severity {
        /** Shown only. */
        WARNING,
        /** Refuses the configuration. */
        ERROR
    }
}
