package org.crocusgrade.core.maintenance;

/** Why maintenance does something, or does not. */
public enum MaintenanceReason {
    /** The host was maintained too long ago. */
    DUE("due", Severity.INFO, "The host is due."),
    /** The host has another image than the one rolled out. */
    IMAGE("image", Severity.INFO, "The host has another image."),
    /** The host is drained. */
    DRAINED("drained", Severity.INFO, "The host is drained."),
    /** The host is up again with the right image and answers its owner. */
    CHECKED("checked", Severity.INFO, "The host is up again and answers."),
    /** The host's work did not end in time; it goes back, uncut, and is tried again later. */
    DRAIN_TOO_LONG("drain-too-long", Severity.WARNING, "The host's work does not end in time."),
    /** As many of the pool's hosts are unavailable as its budget allows, for whatever cause. */
    BUDGET("budget", Severity.INFO, "The pool's availability budget is used up."),
    /** The pool is maintained in as many zones as its budget allows. */
    ZONES("zones", Severity.INFO, "Other zones of the pool are being maintained."),
    /** One host fewer would be below the pool's least number. */
    LEAST_NUMBER("least-number", Severity.INFO, "The pool has no host over its least number."),
    /** The pool's demand surges. */
    SURGE("surge", Severity.INFO, "The pool's demand surges."),
    /** The canary hosts are not all done, or were not watched long enough. */
    CANARY("canary", Severity.INFO, "The canary hosts come first."),
    /** The policy says to pause. */
    PAUSED("paused", Severity.INFO, "Maintenance is paused."),
    /** Most hosts of a zone are down for another cause. */
    ZONE_DOWN("zone-down", Severity.WARNING, "A zone is down."),
    /** A canary host failed; the wave is stopped. */
    CANARY_FAILED("canary-failed", Severity.ERROR, "A canary host failed."),
    /** Several hosts of the wave failed; the wave is stopped. */
    CORRELATED_FAILURES(
            "correlated-failures", Severity.ERROR, "Several hosts failed after maintenance."),
    /** The host did not come back in time. */
    REBOOT_TIMEOUT("reboot-timeout", Severity.ERROR, "The host did not come back in time."),
    /** The host came back with another image. */
    WRONG_IMAGE("wrong-image", Severity.ERROR, "The host came back with another image."),
    /** The host failed after it was back. */
    FAILED_AFTER("failed-after", Severity.ERROR, "The host failed after it was back.");

    /** The code, as in the record, metrics and {@code crocusgrade maintenance}. */
    public final String code;

    /** How much an operator should care. */
    public final Severity severity;

    /** One sentence for people. */
    public final String text;

    MaintenanceReason(String code, Severity severity, String text) {
        this.code = code;
        this.severity = severity;
        this.text = text;
    }

    /** How much an operator should care. */
    public enum Severity {
        /** Part of ordinary work. */
        INFO,
        /** Worth a look when it lasts. */
        WARNING,
        /** Needs a look. */
        ERROR
    }
}
