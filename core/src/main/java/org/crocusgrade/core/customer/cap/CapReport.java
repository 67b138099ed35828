package org.crocusgrade.core.customer.cap;

import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;

/**
 * What the owner of a pool reports about customers with a cap.
 *
 * @param pool the pool
 * @param ownerToken the fencing token of the owner
 * @param sequence increases with each report of the owner
 * @param grantToken the token of the latest grant that the owner has received; 0 if none
 * @param grantSequence the sequence of that grant
 * @param settled whether all runs that earlier owners may have started are known and counted
 * @param usage all customers with a limit for which any amount is not 0
 */
public record CapReport(
        ServiceId pool,
        long ownerToken,
        long sequence,
        long grantToken,
        long grantSequence,
        boolean settled,
        Map<CustomerId, CapUsage> usage) {
    /** Copies the usage. */
    public CapReport {
        Objects.requireNonNull(pool);
        usage = Map.copyOf(usage);
    }
}
