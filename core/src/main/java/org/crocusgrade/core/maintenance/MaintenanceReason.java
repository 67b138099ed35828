package org.crocusgrade.core.maintenance;

/** Reason of a maintenance decision, of a stopped wave or of a failed host. */
public enum MaintenanceReason {
    /** The last maintenance of the host was too long ago. */
    DUE("due", Severity.INFO, "The host is due."),
    /** The host does not have the image that is being rolled out. */
    IMAGE("image", Severity.INFO, "The host has another image."),
    /** The host is drained and can be rebooted. */
    DRAINED("drained", Severity.INFO, "The host is drained."),
    /** The host is up again with the expected image and answers. */
    CHECKED("checked", Severity.INFO, "The host is up again and answers."),
    /** The host's work did not end in time. It returns to service unmaintained; retried later. */
    DRAIN_TOO_LONG("drain-too-long", Severity.WARNING, "The host's work does not end in time."),
    /** As many hosts of the pool as its budget allows are unavailable, regardless of the cause. */
    BUDGET("budget", Severity.INFO, "The pool's availability budget is used up."),
    /** Maintenance is in progress in as many zones of the pool as its budget allows. */
    ZONES("zones", Severity.INFO, "Other zones of the pool are being maintained."),
    /** Taking a host would leave the pool below its minimum number of workers. */
    LEAST_NUMBER("least-number", Severity.INFO, "The pool has no host over its least number."),
    /** The pool's demand is surging, and the pool is configured to postpone maintenance. */
    SURGE("surge", Severity.INFO, "The pool's demand surges."),
    /** The canary hosts are not all done yet, which includes their observation period. */
    CANARY("canary", Severity.INFO, "The canary hosts come first."),
    /** The policy pauses maintenance. */
    PAUSED("paused", Severity.INFO, "Maintenance is paused."),
    /** More than half of the hosts of a zone are down for causes other than maintenance. */
    ZONE_DOWN("zone-down", Severity.WARNING, "A zone is down."),
    /** A host failed before the canary hosts were done; the wave is stopped. */
    CANARY_FAILED("canary-failed", Severity.ERROR, "A canary host failed."),
    /** The number of failed hosts of the wave reached the policy's limit; the wave is stopped. */
    CORRELATED_FAILURES(
            "correlated-failures", Severity.ERROR, "Several hosts failed after maintenance."),
    /** The host did not come back within the reboot timeout. */
    REBOOT_TIMEOUT("reboot-timeout", Severity.ERROR, "The host did not come back in time."),
    /** The host came back with another image. */
    WRONG_IMAGE("wrong-image", Severity.ERROR, "The host came back with another image."),
    /** The host failed after it had come back from its reboot. */
    FAILED_AFTER("failed-after", Severity.ERROR, "The host failed after it was back.");

    /** Stable code, used in JSON pages and by {@code crocusgrade maintenance}. */
    public final String code;

    /** Severity for operators. */
    public final Severity severity;

    /** Description for operators, one sentence. */
    public final String text;

    MaintenanceReason(String code, Severity severity, String text) {
        this.code = code;
        this.severity = severity;
        this.text = text;
    }

    /** Severity for operators. */
    public enum Severity {
        /** Normal operation. */
        INFO,
        /** Needs attention if it persists. */
        WARNING,
        /** Needs attention. */
        ERROR
    }
}
