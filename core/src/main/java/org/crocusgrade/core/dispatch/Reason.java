package org.crocusgrade.core.dispatch;

/**
 * Every reason that can be reported to a caller, with its code, HTTP status, text and severity. The
 * code is sent as {@code Crocusgrade-Reason} and labels the reason's counter.
 */
public enum Reason {
    /** The worker answered. */
    OK("ok", Outcome.COMPLETED, 200, Severity.INFO, "The request was run."),
    /** The request is malformed. */
    BAD_REQUEST("bad-request", Outcome.NOT_RUN, 400, Severity.INFO, "The request is malformed."),
    /** The active configuration has no such service. */
    NO_SERVICE("no-service", Outcome.NOT_RUN, 404, Severity.INFO, "There is no such service."),
    /** The body exceeds the size limit. */
    TOO_LARGE("too-large", Outcome.NOT_RUN, 413, Severity.INFO, "The body is too large."),
    /** The service requires a key on requests that are not idempotent. */
    KEY_REQUIRED("key-required", Outcome.NOT_RUN, 400, Severity.INFO, "The request needs a key."),
    /** The key was used before with a different request. */
    KEY_REUSED(
            "key-reused",
            Outcome.NOT_RUN,
            422,
            Severity.WARNING,
            "The key belongs to another request."),
    /** The daemon has no configuration yet. */
    NO_CONFIG(
            "no-config", Outcome.NOT_RUN, 503, Severity.ERROR, "No configuration is in force yet."),
    /** The queue of the service is full. */
    QUEUE_FULL("queue-full", Outcome.NOT_RUN, 503, Severity.WARNING, "The queue is full."),
    /** The deadline cannot be met, by the estimated wait and run time. */
    DEADLINE_UNREACHABLE(
            "deadline-unreachable",
            Outcome.NOT_RUN,
            503,
            Severity.WARNING,
            "The deadline cannot be met."),
    /** The deadline passed while the request waited for a slot. */
    DEADLINE_PASSED(
            "deadline-passed",
            Outcome.NOT_RUN,
            504,
            Severity.WARNING,
            "The deadline passed before the request was run."),
    /** The customer's quota is used up. */
    QUOTA("quota", Outcome.NOT_RUN, 429, Severity.INFO, "The customer's quota is used up."),
    /** No worker of any pool that the service may use is large enough. */
    NEVER_FITS("never-fits", Outcome.NOT_RUN, 422, Severity.WARNING, "The request fits no worker."),
    /** The request failed on several workers and is not retried. */
    POISON(
            "poison",
            Outcome.UNKNOWN,
            502,
            Severity.WARNING,
            "The request failed on several workers."),
    /** The request failed, and the time or the retry budget did not allow another attempt. */
    RETRY_GIVEN_UP(
            "retry-given-up",
            Outcome.UNKNOWN,
            502,
            Severity.WARNING,
            "The request failed and was not tried again in time."),
    /** The daemon is stopping. */
    STOPPING("stopping", Outcome.NOT_RUN, 503, Severity.INFO, "The daemon is stopping."),
    /** The caller withdrew the request while it waited. */
    CANCELLED("cancelled", Outcome.NOT_RUN, 499, Severity.INFO, "The caller left."),
    /** The caller withdrew the request while it ran. */
    CANCELLED_RUNNING(
            "cancelled-running",
            Outcome.UNKNOWN,
            499,
            Severity.INFO,
            "The caller left while the request ran."),
    /** No attempt reached a run: the workers refused or could not be reached. */
    WORKERS_REFUSED(
            "workers-refused", Outcome.NOT_RUN, 503, Severity.WARNING, "The workers refused."),
    /** The platform's key-value service cannot record the claim of the key. */
    CLAIM_UNAVAILABLE(
            "claim-unavailable",
            Outcome.UNKNOWN,
            503,
            Severity.ERROR,
            "The key cannot be claimed now."),
    /** The request has a key, but this daemon has no such service and cannot look the key up. */
    KEY_UNCHECKED(
            "key-unchecked",
            Outcome.UNKNOWN,
            503,
            Severity.WARNING,
            "The key could not be looked up here."),
    /** The key was claimed before and the end of that run is not known. */
    CLAIM_UNRESOLVED(
            "claim-unresolved",
            Outcome.UNKNOWN,
            409,
            Severity.WARNING,
            "An earlier attempt with this key may have run."),
    /** The worker's answer ended before its full length. */
    ANSWER_CUT("answer-cut", Outcome.UNKNOWN, 502, Severity.WARNING, "The answer broke off."),
    /** The worker's answer belongs to another request or has an unexpected length. */
    ANSWER_MISMATCH(
            "answer-mismatch",
            Outcome.UNKNOWN,
            502,
            Severity.ERROR,
            "The answer belongs to another request."),
    /** The connection broke after bytes were written. */
    CONNECTION_LOST(
            "connection-lost",
            Outcome.UNKNOWN,
            502,
            Severity.WARNING,
            "The connection to the worker broke."),
    /** The deadline passed while the request ran. */
    RUN_TIMEOUT(
            "run-timeout",
            Outcome.UNKNOWN,
            504,
            Severity.WARNING,
            "The deadline passed while the request ran."),
    /** An internal failure of the daemon that no other reason covers. */
    INTERNAL("internal", Outcome.UNKNOWN, 500, Severity.ERROR, "The daemon failed.");

    /** The code, as in headers, metrics and {@code crocusgrade explain}. */
    public final String code;

    /** Whether the request was run. */
    public final Outcome outcome;

    /** The HTTP status of the answer; not used for {@link #OK}, which keeps the worker's. */
    public final int status;

    /** How urgently an operator should examine the reason. */
    public final Severity severity;

    /** One sentence that explains the reason to a person. */
    public final String text;

    Reason(String code, Outcome outcome, int status, Severity severity, String text) {
        this.code = code;
        this.outcome = outcome;
        this.status = status;
        this.severity = severity;
        this.text = text;
    }

    /** How urgently an operator should examine a reason. */
    public enum Severity {
        /** Expected in normal operation. */
        INFO,
        /** Should be examined if it is frequent. */
        WARNING,
        /** Should be examined. */
        ERROR
    }
}
