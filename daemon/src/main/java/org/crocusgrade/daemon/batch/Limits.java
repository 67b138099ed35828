package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Objects;

/**
 * The platform's bounds, from its settings.
 *
 * @param maxRunLease longest lease of runs that a worker grants
 * @param statusRetention how long callers may ask for the end of a submission
 * @param orderTurn the time that must lie between the orders of two holders of the fleet's duty
 * @param minStoreLease shortest lease that the store grants
 * @param stopGrace the time between the request to stop and the end by force
 */
public record Limits(
        Duration maxRunLease,
        Duration statusRetention,
        Duration orderTurn,
        Duration minStoreLease,
        Duration stopGrace) {
    /** Checks the fields. */
    public Limits {
        Objects.requireNonNull(maxRunLease);
        Objects.requireNonNull(statusRetention);
        Objects.requireNonNull(orderTurn);
        Objects.requireNonNull(minStoreLease);
        Objects.requireNonNull(stopGrace);
    }
}
