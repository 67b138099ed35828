package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * What a {@link ServiceQueue} asks of the daemon. The calls come from within the queue's events, so
 * an implementation must not call the queue back before the event has returned.
 */
public interface DispatchActions {
    /** Sends the attempt to its worker; its end is told by {@link ServiceQueue#finished}. */
    void start(Attempt attempt);

    /** Passes the whole answer of this attempt to the caller: the request's final answer. */
    void deliver(Attempt attempt);

    /**
     * Gives the caller a final answer without a worker's answer.
     *
     * @param retryAfter when a new request may succeed, if that can be told
     */
    void answer(Request request, Reason reason, Optional<Duration> retryAfter);

    /** Cancels a running attempt at its worker; its end must still be told. */
    void cancelRun(Attempt attempt);

    /** Tells that a request is tried again, for the counters. */
    default void retried(Attempt failed, RunEnd end) {}
}
