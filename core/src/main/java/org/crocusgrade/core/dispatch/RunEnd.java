package org.crocusgrade.core.dispatch;

/** How an attempt on a worker ended. */
public enum RunEnd {
    /** A complete answer that does not report a failure of the worker. */
    ANSWERED(Kind.ANSWER, Reason.OK),
    /** A complete answer that reports a failure of the worker (a 5xx status). */
    ANSWERED_FAILURE(Kind.FAILED_ANSWER, Reason.OK),
    /** The worker refused before the run: all its slots are in use. */
    REFUSED_SLOTS(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The worker refused before the run: all its connections are in use. */
    REFUSED_CONNECTIONS(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The worker refused before the run: it is shutting down. */
    REFUSED_LEAVING(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The slot was lost before the attempt was sent: its lease ended or was recalled. */
    LEASE_LOST(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** No connection could be made, so nothing was written. */
    NOT_SENT(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The connection broke after a byte may have been written. */
    CONNECTION_LOST(Kind.UNKNOWN, Reason.CONNECTION_LOST),
    /** The answer ended before its full length. */
    ANSWER_CUT(Kind.UNKNOWN, Reason.ANSWER_CUT),
    /** The answer belongs to another request or has an unexpected length. */
    ANSWER_MISMATCH(Kind.UNKNOWN, Reason.ANSWER_MISMATCH),
    /** The attempt was abandoned because its time limit passed. */
    TIMED_OUT(Kind.UNKNOWN, Reason.RUN_TIMEOUT);

    /** What the end proves about the attempt. */
    final Kind kind;

    /** The reason reported to the caller if the request ends with this attempt. */
    final Reason reason;

    /** The reason reported if a request with such an earlier attempt is dropped later. */
    final Reason failure;

    RunEnd(Kind kind, Reason reason) {
        this.kind = kind;
        this.reason = reason;
        failure = kind == Kind.FAILED_ANSWER ? Reason.RETRY_GIVEN_UP : reason;
    }

    /** Returns whether the attempt certainly did not run. */
    public boolean provesNotRun() {
        return kind == Kind.NOT_RUN;
    }

    /** Returns whether the end counts as a failure of the worker. */
    public boolean isWorkerFailure() {
        return kind != Kind.ANSWER && kind != Kind.NOT_RUN || this == NOT_SENT;
    }

    /** Returns whether the attempt has a complete answer that can be forwarded. */
    public boolean hasAnswer() {
        return kind == Kind.ANSWER || kind == Kind.FAILED_ANSWER;
    }

    /** What an end proves about the attempt. */
    enum Kind {
        ANSWER,
        FAILED_ANSWER,
        NOT_RUN,
        UNKNOWN
    }
}
