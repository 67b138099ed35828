package org.crocusgrade.daemon.edge;

import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.daemon.upstream.Answer;

/**
 * Receives the final answer to one caller's request. Exactly one method is called, once, from any
 * thread.
 */
interface Responder {
    /** Passes on a worker's complete answer. */
    void deliver(Answer answer);

    /**
     * Ends the request without a worker's answer.
     *
     * @param retryAfter when a new request may succeed, if that is known
     */
    void refuse(Reason reason, Optional<Duration> retryAfter);
}
