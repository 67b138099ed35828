package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;

/**
 * The state of one pool in a {@link FleetView}.
 *
 * @param pool its id
 * @param capacity its minimum, usual and maximum number of workers, and whether it is a spare pool
 * @param budget how many of its workers may be unavailable at a time
 * @param serviceClass the service class of its requests
 * @param demand its latest demand; empty if there is no recent report
 */
public record PoolView(
        PoolId pool,
        ServiceConfig.Capacity capacity,
        ServiceConfig.Budget budget,
        ServiceClass serviceClass,
        Optional<DemandDigest> demand) {
    /** Checks the fields. */
    public PoolView {
        Objects.requireNonNull(pool);
        Objects.requireNonNull(capacity);
        Objects.requireNonNull(budget);
        Objects.requireNonNull(serviceClass);
        Objects.requireNonNull(demand);
    }

    /** Creates the view of a service's pool. */
    public static PoolView of(ServiceConfig service, Optional<DemandDigest> demand) {
        return new PoolView(
                service.pool(),
                service.capacity(),
                service.budget(),
                service.serviceClass(),
                demand);
    }
}
