package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Whether a submission is accepted, with the inputs of the decision.
 *
 * @param retryAfter the delay before the caller should retry, in whole seconds; empty if the
 *     submission is accepted
 * @param coreMillisAhead the processor time ahead of it, in core-milliseconds
 * @param memoryMillisAhead the memory-time ahead of it, in MB-milliseconds
 * @param capacity the capacity that serves batch work
 * @param end the estimated time until it ends
 * @param limit the time after which its end has no value to the caller
 * @param firstAttemptNanos when its first attempt arrived, on the monotonic clock
 * @param beyondRate whether its customer had used up its rate when the first attempt arrived
 */
public record AdmissionDecision(
        Optional<Duration> retryAfter,
        double coreMillisAhead,
        double memoryMillisAhead,
        BatchCapacity capacity,
        Duration end,
        Duration limit,
        long firstAttemptNanos,
        boolean beyondRate) {
    /** Checks the fields. */
    public AdmissionDecision {
        Objects.requireNonNull(retryAfter);
        Objects.requireNonNull(capacity);
        Objects.requireNonNull(end);
        Objects.requireNonNull(limit);
    }

    /** Returns whether the submission is accepted. */
    public boolean isAccepted() {
        return retryAfter.isEmpty();
    }
}
