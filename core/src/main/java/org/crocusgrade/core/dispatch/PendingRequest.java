package org.crocusgrade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.WorkerId;

/** A request that was taken and has no final answer yet, or still holds a slot. */
final class PendingRequest {
    /** Where the request is. */
    enum State {
        QUEUED,
        /** Waits for its retry's delay to pass. */
        DELAYED,
        RUNNING,
        /** Answered, while its attempt still holds a slot. */
        ABANDONED,
        DONE
    }

    final Request request;
    final long sequence;
    final long arrivedNanos;

    /** The workers on which it failed. */
    final List<WorkerId> failedOn = new ArrayList<>(0);

    State state = State.QUEUED;

    /** The running attempt, or the last. */
    Attempt attempt;

    /** Whether its caller left while it ran, so that its end says nothing of the worker. */
    boolean cancelled;

    long startedNanos;

    /** The run time that its customer was charged at the start. */
    double chargedNanos;

    long wakeNanos;

    /** The attempts that were sent, or tried to be. */
    int sends;

    /** How many of its customer's requests wait before it, as counted last. */
    int position;

    /** The time to spare before its deadline, as estimated last. */
    double spareNanos = Double.MAX_VALUE;

    /** Why the last attempt that may have run gave no answer; null if none may have run. */
    Reason failure;

    PendingRequest(Request request, long sequence, long arrivedNanos) {
        this.request = request;
        this.sequence = sequence;
        this.arrivedNanos = arrivedNanos;
    }

    /** Notes an attempt that may have run without success. */
    void failed(WorkerId worker, Reason reason) {
        failure = reason;
        if (!failedOn.contains(worker)) {
            failedOn.add(worker);
        }
    }

    /** Returns the reason to give: what is said of a request that may have run is never not-run. */
    Reason truthful(Reason reason) {
        if (failure == null || reason.outcome != Outcome.NOT_RUN) {
            return reason;
        }
        return reason == Reason.CANCELLED ? Reason.CANCELLED_RUNNING : failure;
    }

    static int byDeadline(PendingRequest a, PendingRequest b) {
        int order = Long.compare(a.request.deadlineNanos() - b.request.deadlineNanos(), 0);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    }

    static int byWake(PendingRequest a, PendingRequest b) {
        int order = Long.compare(a.wakeNanos - b.wakeNanos, 0);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    }
}
