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
 *
 * <p>Callers retry a few times, so they are asked to wait longer the longer the outage lasts: half
 * as long as it has. Worked case: callers give up after four retries, and the store is down for 4.2
 * s. One who comes at the beginning retries after 1, 2, 3 and 5 s, and is accepted; with a fixed
 * second the last retry would come 0.2 s too early. One who comes at 3.5 s retries at 5.5 s; with
 * the whole age of the outage it would be 7.5 s.
 */
final class StoreCircuitBreaker {
    /** Failures in a row that open the breaker; a single one may be a lost answer. */
    private static final int FAILURE_THRESHOLD = 2;

    /** Age after which a write is unlikely to be answered; a slow store takes about 400 ms. */
    private static final long OVERDUE_NANOS = Duration.ofMillis(900).toNanos();

    /** Bounds of the delay before a refused caller retries. */
    private static final Duration MIN_RETRY = Duration.ofSeconds(1);

    private static final Duration MAX_RETRY = Duration.ofSeconds(5);

    private int failures;
    private long failingSinceNanos;

    /** Records an answer of the store. */
    void answered() {
        failures = 0;
    }

    /**
     * Records a write that was not answered or was rejected; one that was overdue opens the breaker
     * immediately.
     */
    void failed(long sentNanos, long now) {
        failingSinceNanos = failures == 0 ? sentNanos : failingSinceNanos;
        failures += now - sentNanos > OVERDUE_NANOS ? FAILURE_THRESHOLD : 1;
    }

    /** Returns whether the breaker is open: the store has failed and has not answered since. */
    boolean isOpen() {
        return failures >= FAILURE_THRESHOLD;
    }

    /** Returns when a caller that is refused now should retry. */
    Duration retryAfter(long now) {
        if (failures == 0) {
            return MIN_RETRY;
        }
        Duration delay = Duration.ofNanos((now - failingSinceNanos) / 2);
        Duration least = delay.compareTo(MIN_RETRY) < 0 ? MIN_RETRY : delay;
        return least.compareTo(MAX_RETRY) > 0 ? MAX_RETRY : least;
    }

    /** Returns whether a write that was sent at the given time is overdue. */
    boolean isOverdue(long sentNanos, long now) {
        return now - sentNanos > OVERDUE_NANOS;
    }
}
