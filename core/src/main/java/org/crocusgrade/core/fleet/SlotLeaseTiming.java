package org.crocusgrade.core.fleet;

import java.time.Duration;
import java.util.Objects;

/**
 * The times of slot leases.
 *
 * @param lease how long a lease lasts on the borrower's clock
 * @param renewal how often a borrower renews
 * @param minGap the shortest time between two statements to one owner
 * @param maxGap the longest time that a larger demand waits for the next statement
 * @param linger how long a borrower keeps an idle slot that it has no demand for
 * @param grace what the owner adds to a lease's end for a request that was checked just before the
 *     end and written just after
 */
public record SlotLeaseTiming(
        Duration lease,
        Duration renewal,
        Duration minGap,
        Duration maxGap,
        Duration linger,
        Duration grace) {
    /** The times in use. */
    public static final SlotLeaseTiming DEFAULT =
            new SlotLeaseTiming(
                    Duration.ofSeconds(2),
                    Duration.ofMillis(800),
                    Duration.ofMillis(5),
                    Duration.ofMillis(80),
                    Duration.ofMillis(500),
                    Duration.ofMillis(250));

    /** How much faster one clock may run than another: one part in this many. */
    public static final int CLOCK_RATE_PARTS = 100;

    /** Checks the fields. */
    public SlotLeaseTiming {
        Objects.requireNonNull(lease);
        Objects.requireNonNull(renewal);
        Objects.requireNonNull(minGap);
        Objects.requireNonNull(maxGap);
        Objects.requireNonNull(linger);
        Objects.requireNonNull(grace);
        if (renewal.compareTo(lease) >= 0) {
            throw new IllegalArgumentException("a lease must last longer than its renewal takes");
        }
    }

    /** Returns how long the owner takes a lease to last from the statement's arrival, in ns. */
    public long ownerLeaseNanos() {
        return withClockRate(lease.toNanos()) + grace.toNanos();
    }

    /** Returns a time lengthened for a clock that runs too fast. */
    public static long withClockRate(long nanos) {
        return nanos + nanos / CLOCK_RATE_PARTS;
    }
}
