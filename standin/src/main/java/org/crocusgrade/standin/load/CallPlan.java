package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.Objects;

/**
 * A request that a caller is going to send.
 *
 * @param nonce the caller's identifier of the request; resubmissions have the same
 * @param queue the load that the request belongs to
 * @param idempotent whether the request may run twice
 * @param work how long the request runs on the worker
 * @param answerBytes requested size of the answer, in bytes
 * @param timeout how long the caller waits: the queue's timeout, or a usually much shorter time
 *     after which the caller abandons the call
 */
record CallPlan(
        String nonce,
        QueueLoad queue,
        boolean idempotent,
        Duration work,
        int answerBytes,
        Duration timeout) {
    CallPlan {
        Objects.requireNonNull(nonce);
        Objects.requireNonNull(queue);
        Objects.requireNonNull(work);
        Objects.requireNonNull(timeout);
    }
}
