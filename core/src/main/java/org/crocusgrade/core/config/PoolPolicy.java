package org.crocusgrade.core.config;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * How the workers of one service's pool behave.
 *
 * @param service the service
 * @param guarded whether the workers refuse what does not fit
 * @param standby whether the pool's hosts are switched off and free of charge
 */
public record PoolPolicy(ServiceId service, boolean guarded, boolean standby) {
    /** Checks the fields. */
    public PoolPolicy {
        Objects.requireNonNull(service);
    }
}
