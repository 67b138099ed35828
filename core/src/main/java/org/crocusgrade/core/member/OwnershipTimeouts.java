package org.crocusgrade.core.member;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts of the ownership protocol. The rates of two clocks are assumed to differ by less than
 * one part in {@link #CLOCK_DRIFT_DIVISOR}.
 *
 * @param lease time to live of a member's lease in the platform's service
 * @param promise how long a witness's promise lasts on the owner's clock
 * @param settle how long a member must be absent, with the platform's service available throughout,
 *     before its racks may be taken over; longer than the lease, so that a member whose lease the
 *     service lost early no longer relies on that lease
 */
public record OwnershipTimeouts(Duration lease, Duration promise, Duration settle) {
    /** The timeouts used in production. */
    public static final OwnershipTimeouts DEFAULT =
            new OwnershipTimeouts(
                    Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(5));

    /** The reciprocal of the largest assumed relative difference between two clock rates (1 %). */
    public static final int CLOCK_DRIFT_DIVISOR = 100;

    /** Checks the fields. */
    public OwnershipTimeouts {
        Objects.requireNonNull(lease);
        Objects.requireNonNull(promise);
        Objects.requireNonNull(settle);
        if (settle.toNanos() < withClockDrift(lease.toNanos())) {
            throw new IllegalArgumentException(
                    "settle time must be at least the lease plus the clock drift margin");
        }
    }

    /**
     * Returns how long the holder of a renewed lease may rely on it, in nanoseconds of the holder's
     * clock from before the renewal was sent. Shorter than the lease, in case that clock is slow.
     */
    public long leaseNanos() {
        return lease.toNanos() - lease.toNanos() / CLOCK_DRIFT_DIVISOR;
    }

    /**
     * Returns how long a promise binds the witness, in nanoseconds of the witness's clock from when
     * it was granted. Longer than the promise, in case that clock is fast.
     */
    public long bindingNanos() {
        return withClockDrift(promise.toNanos());
    }

    private static long withClockDrift(long nanos) {
        return nanos + nanos / CLOCK_DRIFT_DIVISOR;
    }
}
