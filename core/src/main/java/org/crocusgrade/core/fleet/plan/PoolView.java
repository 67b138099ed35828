package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;

/**
 * One pool as the planner sees it.
 *
 * @param pool its id
 * @param capacity the workers that it may hold
 * @param budget how many of its workers may be unavailable at once
 * @param serviceClass what matters most about its requests
 * @param demand its latest demand, if any was heard
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

    /** Makes the view of a service's pool. */
    public static PoolView of(ServiceConfig service, Optional<DemandDigest> demand) {
        return new PoolView(
                service.pool(),
                service.capacity(),
                service.budget(),
                service.serviceClass(),
                demand);
    }
}
