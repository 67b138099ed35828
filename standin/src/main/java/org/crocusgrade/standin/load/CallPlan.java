package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.Objects;

/**
 * One request that a caller is going to send.
 *
 * @param nonce the caller's own name of it
 * @param queue what it belongs to
 * @param idempotent whether it may run twice
 * @param work how long it runs
 * @param answerBytes the size of its answer
 * @param patience how long the caller waits
 */
record CallPlan(
        String nonce,
        QueueLoad queue,
        boolean idempotent,
        Duration work,
        int answerBytes,
        Duration patience) {
    CallPlan {
        Objects.requireNonNull(nonce);
        Objects.requireNonNull(queue);
        Objects.requireNonNull(work);
        Objects.requireNonNull(patience);
    }
}
