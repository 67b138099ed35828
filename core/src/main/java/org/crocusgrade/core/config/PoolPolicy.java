package org.crocusgrade.core.config;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * The settings of one service's pool.
 *
 * @param guarded whether the workers refuse tasks that do not fit
 * @param standby whether the pool's hosts are switched off and cost nothing
 */
public record PoolPolicy(ServiceId service, boolean guarded, boolean standby) {
    /** Throws NullPointerException if the service is null. */
    public PoolPolicy {
        Objects.requireNonNull(service);
    }
}
