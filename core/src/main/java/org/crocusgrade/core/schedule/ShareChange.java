package org.crocusgrade.core.schedule;

import java.util.Objects;
import org.crocusgrade.core.id.CustomerId;

/**
 * A customer has begun or ceased to use more than its share of a pool.
 *
 * @param above whether it uses more than its share
 * @param usage its dominant share of the pool: the larger of its fractions of processors and memory
 * @param allocation the fraction of the pool that it is entitled to
 */
public record ShareChange(CustomerId customer, boolean above, double usage, double allocation) {
    /** Checks the fields. */
    public ShareChange {
        Objects.requireNonNull(customer);
    }
}
