package org.crocusgrade.core.customer;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Limits that the settings of a deployment prescribe for customers.
 *
 * @param keyRevocation the time after which no daemon may accept a withdrawn key any more; empty if
 *     the deployment sets no such bound
 * @param capOverage the fraction by which a customer's running tasks may exceed its cap
 */
public record CustomerLimits(Optional<Duration> keyRevocation, double capOverage) {
    public static final CustomerLimits NONE = new CustomerLimits(Optional.empty(), 0);

    /** Checks the fields. */
    public CustomerLimits {
        Objects.requireNonNull(keyRevocation);
        if (!(capOverage >= 0)) {
            throw new IllegalArgumentException("the cap overage must be 0 or more");
        }
    }
}
