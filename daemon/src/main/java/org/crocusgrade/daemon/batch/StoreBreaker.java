package org.crocusgrade.daemon.batch;

import java.time.Duration;

/**
 * Tells when the store is not to be written to: a circuit breaker.
 *
 * <p>Load: the store is down while a queue surges. What is written then has no answer, and its
 * caller waits in vain for one and may not be told to come back. So after two failures in a row, or
 * while the oldest write has had no answer for long, callers are refused before anything is sent.
 * One lost answer among others does not open it, nor does a store that answers slowly.
 */
final class StoreBreaker {
    /** Failures in a row that open the breaker: one may be a single lost answer. */
    private static final int OPEN_AFTER = 2;

    /** A write that is out for longer has hardly any answer; a slow store takes about 400 ms. */
    private static final long SLOW_NANOS = Duration.ofMillis(900).toNanos();

    private int failures;

    /** Takes an answer of the store. */
    void answered() {
        failures = 0;
    }

    /** Takes a write without an answer, or one that the store turned away. */
    void failed(long sentNanos, long now) {
        failures += now - sentNanos > SLOW_NANOS ? OPEN_AFTER : 1;
    }

    /** Returns whether the store has failed and not answered since. */
    boolean isOpen() {
        return failures >= OPEN_AFTER;
    }

    /** Returns whether a write that was sent at a time has been out for too long. */
    boolean isOverdue(long sentNanos, long now) {
        return now - sentNanos > SLOW_NANOS;
    }
}
