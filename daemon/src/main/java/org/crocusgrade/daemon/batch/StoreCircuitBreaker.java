package org.crocusgrade.daemon.batch;

import java.time.Duration;

/**
 * Circuit breaker for writes to the store.
 *
 * <p>Load: the store is down while submissions surge. A write sent then gets no answer, so its
 * caller waits without a result and cannot be asked to retry, because the submission may have been
 * stored. Therefore, after two failures in a row, or while the oldest write is overdue, submissions
 * are refused before anything is sent. A single lost answer does not open the breaker, nor does a
 * store that answers slowly.
 */
final class StoreCircuitBreaker {
    /** Failures in a row that open the breaker; a single one may be a lost answer. */
    private static final int FAILURE_THRESHOLD = 2;

    /** Age after which a write is unlikely to be answered; a slow store takes about 400 ms. */
    private static final long OVERDUE_NANOS = Duration.ofMillis(900).toNanos();

    private int failures;

    /** Records an answer of the store. */
    void answered() {
        failures = 0;
    }

    /**
     * Records a write that was not answered or was rejected; one that was overdue opens the breaker
     * immediately.
     */
    void failed(long sentNanos, long now) {
        failures += now - sentNanos > OVERDUE_NANOS ? FAILURE_THRESHOLD : 1;
    }

    /** Returns whether the breaker is open: the store has failed and has not answered since. */
    boolean isOpen() {
        return failures >= FAILURE_THRESHOLD;
    }

    /** Returns whether a write that was sent at the given time is overdue. */
    boolean isOverdue(long sentNanos, long now) {
        return now - sentNanos > OVERDUE_NANOS;
    }
}
