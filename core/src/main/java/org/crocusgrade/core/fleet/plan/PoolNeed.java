package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * The processor demand of a pool, as reported by its owner.
 *
 * @param pool the pool
 * @param longRunningCores the cores that long-running tasks use
 * @param batchCores the cores that tasks of other submissions use or, if ready to start, wait for
 * @param backlog the remaining work of those other submissions, in core-seconds
 */
public record PoolNeed(ServiceId pool, double longRunningCores, double batchCores, double backlog) {
    /** Checks the fields. */
    public PoolNeed {
        Objects.requireNonNull(pool);
    }
}
