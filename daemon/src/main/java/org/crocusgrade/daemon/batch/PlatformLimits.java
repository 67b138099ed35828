package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Objects;
import org.crocusgrade.core.customer.CustomerLimits;

/**
 * Limits that the settings of the platform and of the process prescribe.
 *
 * @param maxRunLease longest lease of runs that a worker grants
 * @param statusRetention how long callers may request the final state of a submission
 * @param orderSpacing the time that must lie between the orders of two holders of the fleet duty
 * @param minStoreLease shortest lease that the store grants
 * @param stopGrace the time between the request to stop and forced termination
 * @param customers limits for customers
 * @param heapBytes the memory of the process for objects
 */
public record PlatformLimits(
        Duration maxRunLease,
        Duration statusRetention,
        Duration orderSpacing,
        Duration minStoreLease,
        Duration stopGrace,
        CustomerLimits customers,
        long heapBytes) {
    /** Rejects null fields. */
    public PlatformLimits {
        Objects.requireNonNull(maxRunLease);
        Objects.requireNonNull(statusRetention);
        Objects.requireNonNull(orderSpacing);
        Objects.requireNonNull(minStoreLease);
        Objects.requireNonNull(stopGrace);
        Objects.requireNonNull(customers);
        if (heapBytes <= 0) {
            throw new IllegalArgumentException("no memory for objects: " + heapBytes);
        }
    }
}
