package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * What the owner of a pool reports.
 *
 * @param pool the pool
 * @param wantedCores processors that runs take or that startable tasks wait for
 */
public record PoolNeed(ServiceId pool, double wantedCores) {
    /** Checks the fields. */
    public PoolNeed {
        Objects.requireNonNull(pool);
    }
}
