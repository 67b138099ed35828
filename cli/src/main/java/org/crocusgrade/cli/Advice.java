package org.crocusgrade.cli;

import java.util.Arrays;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Reason;

/** The advice to operators for each reason code that callers receive. */
enum Advice {
    OK(Reason.OK, "Nothing."),
    BAD_REQUEST(Reason.BAD_REQUEST, "The caller must correct the request's path or headers."),
    NO_SERVICE(Reason.NO_SERVICE, "Check the path's service name; publish its file if missing."),
    TOO_LARGE(Reason.TOO_LARGE, "Send less, or raise [bounds] max-body in the daemons' settings."),
    KEY_REQUIRED(Reason.KEY_REQUIRED, "The caller must send an Idempotency-Key."),
    KEY_REUSED(Reason.KEY_REUSED, "The caller must use a new key for a new request."),
    NO_CONFIG(
            Reason.NO_CONFIG, "Publish service files; check that the daemon reaches the platform."),
    QUEUE_FULL(
            Reason.QUEUE_FULL,
            "See `pools`: if the pool is at max-workers, raise it; else see `moves` for what holds"
                    + " workers back. A longer queue-bound only helps requests that may wait."),
    DEADLINE_UNREACHABLE(
            Reason.DEADLINE_UNREACHABLE,
            "Demand exceeds what the pool can run in time. See `pools`; raise max-workers, or the"
                    + " deadline."),
    DEADLINE_PASSED(
            Reason.DEADLINE_PASSED,
            "The request waited too long for a slot. See `pools` and `moves`."),
    QUOTA(Reason.QUOTA, "Raise the customer's line in [quotas], or leave it."),
    NEVER_FITS(Reason.NEVER_FITS, "Lower [needs], or add larger workers."),
    POISON(
            Reason.POISON,
            "The request failed on several workers. Look at the request, not at the workers."),
    STOPPING(Reason.STOPPING, "Nothing: a planned stop. The balancer should follow /readyz."),
    CANCELLED(Reason.CANCELLED, "Nothing: the caller left."),
    CANCELLED_RUNNING(
            Reason.CANCELLED_RUNNING, "Nothing: the caller left; the request may have run."),
    WORKERS_REFUSED(
            Reason.WORKERS_REFUSED,
            "Workers were full or leaving. See `hosts`; frequent cases mean that workers have fewer"
                    + " slots than the host list says."),
    CLAIM_UNAVAILABLE(
            Reason.CLAIM_UNAVAILABLE,
            "The platform's service is down or slow; requests with a key wait for it."),
    CLAIM_UNRESOLVED(
            Reason.CLAIM_UNRESOLVED,
            "An earlier attempt may have run. Look it up in the service before trying a new key."),
    ANSWER_CUT(
            Reason.ANSWER_CUT, "A worker broke off. Many from one worker: see `explain WORKER`."),
    ANSWER_MISMATCH(
            Reason.ANSWER_MISMATCH,
            "A worker answered for another request. Report it to the service's developers."),
    CONNECTION_LOST(
            Reason.CONNECTION_LOST, "A worker or the network failed. See `status` and `hosts`."),
    RUN_TIMEOUT(
            Reason.RUN_TIMEOUT,
            "The request ran past its deadline. Compare run-time and deadline in the file."),
    RETRY_GIVEN_UP(
            Reason.RETRY_GIVEN_UP,
            "The deadline or the retry budget ended the retries. See which workers fail: `status`,"
                    + " `hosts`."),
    KEY_UNCHECKED(
            Reason.KEY_UNCHECKED,
            "The daemon that keeps the key was not reached. Send the request again with its key."),
    INTERNAL(Reason.INTERNAL, "A fault of the daemon: see its log, and report it.");

    final Reason reason;

    /** The action to take; {@code docs/OPERATING.md} has the same text. */
    final String text;

    Advice(Reason reason, String text) {
        this.reason = reason;
        this.text = text;
    }

    /** Returns the advice for a reason code, or empty if the code is unknown. */
    static Optional<Advice> of(String code) {
        return Arrays.stream(values()).filter(a -> a.reason.code.equals(code)).findFirst();
    }
}
