package org.crocusgrade.core.member;

import java.time.Duration;
import java.util.Objects;

/**
 * The times that ownership rests on. Two clocks' rates are taken to differ by less than one part in
 * {@link #CLOCK_RATE_PARTS}.
 *
 * @param lease the time to live of a member's lease in the platform's service
 * @param promise how long a witness's promise lasts on the owner's clock
 * @param settle how long a member must be seen absent, with the service steadily up, before its
 *     racks are taken over; longer than the lease, so that it also covers a service that lost the
 *     lease early
 */
public record OwnershipTimeouts(Duration lease, Duration promise, Duration settle) {
    /** The times in use. */
    public static final OwnershipTimeouts DEFAULT =
            new OwnershipTimeouts(
                    Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(5));

    /** How much faster one clock may run than another: one part in this many. */
    public static final int CLOCK_RATE_PARTS = 100;

    /** Checks the fields. */
    public OwnershipTimeouts {
        Objects.requireNonNull(lease);
        Objects.requireNonNull(promise);
        Objects.requireNonNull(settle);
        if (settle.toNanos() < lengthen(lease.toNanos())) {
            throw new IllegalArgumentException("the settle time must cover a lease");
        }
    }

    /** Returns how long a renewed lease lasts for its holder, from before it asked. */
    public long leaseNanos() {
        return lease.toNanos() - lease.toNanos() / CLOCK_RATE_PARTS;
    }

    /** Returns how long a promise binds its witness, from when it gave it. */
    public long bindingNanos() {
        return lengthen(promise.toNanos());
    }

    private static long lengthen(long nanos) {
        return nanos + nanos / CLOCK_RATE_PARTS;
    }
}
