package org.crocusgrade.core.fleet;

import java.time.Duration;
import java.util.Objects;

/**
 * The durations and intervals of slot leases.
 *
 * @param lease how long a lease lasts on the borrower's clock
 * @param renewal the interval at which a borrower renews its leases
 * @param minInterval the shortest interval between two demand messages to one owner
 * @param maxGrowthInterval the longest time for which grown demand waits for the next demand
 *     message
 * @param idleTimeout how long a borrower keeps an idle slot that it has no demand for
 * @param grace what the owner adds to a lease's end, to cover a request that is checked just before
 *     the end and written just after it
 */
public record SlotLeaseTiming(
        Duration lease,
        Duration renewal,
        Duration minInterval,
        Duration maxGrowthInterval,
        Duration idleTimeout,
        Duration grace) {
    /** The values that daemons use. */
    public static final SlotLeaseTiming DEFAULT =
            new SlotLeaseTiming(
                    Duration.ofSeconds(2),
                    Duration.ofMillis(800),
                    Duration.ofMillis(5),
                    Duration.ofMillis(80),
                    Duration.ofMillis(500),
                    Duration.ofMillis(250));

    /** The reciprocal of the largest assumed relative difference between two clock rates (1 %). */
    public static final int CLOCK_DRIFT_DIVISOR = 100;

    /** Checks the fields. */
    public SlotLeaseTiming {
        Objects.requireNonNull(lease);
        Objects.requireNonNull(renewal);
        Objects.requireNonNull(minInterval);
        Objects.requireNonNull(maxGrowthInterval);
        Objects.requireNonNull(idleTimeout);
        Objects.requireNonNull(grace);
        if (renewal.compareTo(lease) >= 0) {
            throw new IllegalArgumentException("renewal interval must be shorter than the lease");
        }
    }

    /**
     * Returns how long a lease lasts for the owner, from the arrival of the demand message, in ns.
     */
    public long ownerLeaseNanos() {
        return withClockDrift(lease.toNanos()) + grace.toNanos();
    }

    /** Returns a duration in ns, lengthened to cover a local clock that runs too fast. */
    public static long withClockDrift(long nanos) {
        return nanos + nanos / CLOCK_DRIFT_DIVISOR;
    }
}
