package org.crocusgrade.core.dispatch;

/** How an attempt on a worker ended. */
public enum RunEnd {
    /** A whole answer that does not report a failure of the worker. */
    ANSWERED(Kind.ANSWER, Reason.OK),
    /** A whole answer that reports a failure of the worker (a 5xx status). */
    ANSWERED_FAILURE(Kind.FAILED_ANSWER, Reason.OK),
    /** The worker refused before it started: its slots are taken. */
    REFUSED_SLOTS(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The worker refused before it started: its connections are taken. */
    REFUSED_CONNECTIONS(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The worker refused before it started: it is leaving. */
    REFUSED_LEAVING(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The slot was gone before the attempt could be sent: its lease ended or was recalled. */
    LEASE_LOST(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** No connection could be made, so not a byte was written. */
    NOT_SENT(Kind.NOT_RUN, Reason.WORKERS_REFUSED),
    /** The connection broke after a byte may have been written. */
    CONNECTION_LOST(Kind.UNKNOWN, Reason.CONNECTION_LOST),
    /** The answer broke off. */
    ANSWER_CUT(Kind.UNKNOWN, Reason.ANSWER_CUT),
    /** The answer is for another request or has another length. */
    ANSWER_MISMATCH(Kind.UNKNOWN, Reason.ANSWER_MISMATCH),
    /** The attempt was given up because time ran out. */
    TIMED_OUT(Kind.UNKNOWN, Reason.RUN_TIMEOUT);

    /** What the end proves of the attempt. */
    final Kind kind;

    /** The reason that a caller is given when the request ends with this attempt. */
    final Reason reason;

    /** The reason that a caller is given when a request that had this end is given up later. */
    final Reason failure;

    RunEnd(Kind kind, Reason reason) {
        this.kind = kind;
        this.reason = reason;
        failure = kind == Kind.FAILED_ANSWER ? Reason.RETRY_GIVEN_UP : reason;
    }

    /** Returns whether the attempt was certainly not run. */
    public boolean provesNotRun() {
        return kind == Kind.NOT_RUN;
    }

    /** Returns whether the end counts against the worker. */
    public boolean blamesWorker() {
        return kind != Kind.ANSWER && kind != Kind.NOT_RUN || this == NOT_SENT;
    }

    /** Returns whether a whole answer of this attempt can be passed on. */
    public boolean hasAnswer() {
        return kind == Kind.ANSWER || kind == Kind.FAILED_ANSWER;
    }

    /** What an end proves. */
    enum Kind {
        ANSWER,
        FAILED_ANSWER,
        NOT_RUN,
        UNKNOWN
    }
}
