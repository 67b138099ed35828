package org.crocusgrade.core.fleet.plan;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * What the owner of a pool reports.
 *
 * @param pool the pool
 * @param longRunningCores processors that long-running tasks take
 * @param batchCores processors that tasks of other submissions take or, startable, wait for
 * @param backlog work that is left of those submissions, in core-seconds
 */
public record PoolNeed(ServiceId pool, double longRunningCores, double batchCores, double backlog) {
    /** Checks the fields. */
    public PoolNeed {
        Objects.requireNonNull(pool);
    }
}
