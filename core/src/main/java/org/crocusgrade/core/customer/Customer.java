package org.crocusgrade.core.customer;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.CustomerId;

/**
 * A customer of the configuration in force.
 *
 * @param id the name of the customer
 * @param weight the customer's share when all hosts are in use, relative to the weights of others;
 *     also the number of submissions per second that it is entitled to
 * @param cap the most that the customer may have running on all workers together
 * @param keys the keys that its callers may use
 */
public record Customer(CustomerId id, double weight, ResourceCap cap, Set<ApiKey> keys) {
    /** Checks the fields and copies the keys. */
    public Customer {
        Objects.requireNonNull(id);
        Objects.requireNonNull(cap);
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException(
                    "the weight of customer " + id + " must be 0 or more, but is " + weight);
        }
        keys = Set.copyOf(keys);
    }

    /** Returns the cap, if it limits any resource. */
    public Optional<ResourceCap> effectiveCap() {
        return Optional.of(cap).filter(c -> !c.isUnlimited());
    }
}
