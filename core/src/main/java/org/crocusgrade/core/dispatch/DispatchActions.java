package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * The actions that a {@link ServiceQueue} requires of its daemon. The queue calls them while it
 * handles an event, so an implementation must not call the queue before that event's method has
 * returned.
 */
public interface DispatchActions {
    /**
     * Sends the attempt to its worker; its end must be reported to {@link ServiceQueue#finished}.
     */
    void start(Attempt attempt);

    /** Forwards the whole answer of this attempt to the caller, as the request's final answer. */
    void deliver(Attempt attempt);

    /**
     * Sends the caller a final answer that does not come from a worker.
     *
     * @param retryAfter the time after which a new request may succeed, if known
     */
    void answer(Request request, Reason reason, Optional<Duration> retryAfter);

    /** Cancels a running attempt at its worker; its end must still be reported. */
    void cancelRun(Attempt attempt);

    /** Reports that a request is attempted again, for metrics. */
    default void retried(Attempt failed, RunEnd end) {}
}
