package org.crocusgrade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.WorkerId;

/** An admitted request that has no final answer yet or still holds a slot. */
final class PendingRequest {
    enum State {
        QUEUED,
        /** Waits for the delay before its next attempt to pass. */
        DELAYED,
        RUNNING,
        /** Answered, while its attempt still holds a slot. */
        ABANDONED,
        DONE
    }

    final Request request;
    final long sequence;
    final long arrivedNanos;

    /** The workers on which an attempt may have run without success. */
    final List<WorkerId> failedOn = new ArrayList<>(0);

    State state = State.QUEUED;

    /** The running or the most recent attempt; null before the first. */
    Attempt attempt;

    /**
     * Whether its caller withdrew it while it ran. The end of the attempt is then no evidence about
     * the worker.
     */
    boolean cancelled;

    long startedNanos;

    /** The run time charged to its customer at the start. */
    double chargedNanos;

    /** When a delayed request joins the queue again. */
    long wakeNanos;

    /** The number of ended attempts, without those that lost their slot before they were sent. */
    int endedAttempts;

    /** How many of its customer's requests waited before it at the last sweep. */
    int position;

    /**
     * The estimated time between its end and its deadline, from the last sweep, less the delay by
     * requests admitted since.
     */
    double slackNanos = Double.MAX_VALUE;

    /** The reason of the last attempt that may have run; null if no attempt can have run. */
    Reason failure;

    PendingRequest(Request request, long sequence, long arrivedNanos) {
        this.request = request;
        this.sequence = sequence;
        this.arrivedNanos = arrivedNanos;
    }

    /** Records an attempt that may have run but did not succeed. */
    void recordFailure(WorkerId worker, Reason reason) {
        failure = reason;
        if (!failedOn.contains(worker)) {
            failedOn.add(worker);
        }
    }

    /**
     * Returns the reason to report. A request that may have run is never reported as not run: such
     * a reason is replaced by the one of its last attempt that may have run.
     */
    Reason reportableReason(Reason reason) {
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
