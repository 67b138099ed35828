package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;

/**
 * One service's checked file.
 *
 * @param service the service's name
 * @param pool the pool whose workers run it; one pool runs one service
 * @param serviceClass prompt or must finish
 * @param deadline the time within which a request is answered when its caller names none
 * @param runTime the declared time that a request runs, before any was seen
 * @param queueBound the requests that may wait at one daemon
 * @param needs what one request needs of a worker
 * @param capacity the workers that the pool holds
 * @param budget how many of the pool's workers may be unavailable at once
 * @param maintenance how the pool's workers are maintained
 * @param cancelRunning whether a running request is cancelled when its caller leaves
 * @param keyRequired whether requests that are not idempotent must carry a key
 * @param paths which paths are idempotent against their method's rule, first match counts
 * @param quotas the most slots that a customer may hold, for customers that have a quota
 */
public record ServiceConfig(
        ServiceId service,
        PoolId pool,
        ServiceClass serviceClass,
        Duration deadline,
        Duration runTime,
        int queueBound,
        Needs needs,
        Capacity capacity,
        Budget budget,
        Maintenance maintenance,
        boolean cancelRunning,
        boolean keyRequired,
        List<PathRule> paths,
        Map<CustomerId, Quota> quotas) {
    /** Checks that no field is missing and copies the collections. */
    public ServiceConfig {
        Objects.requireNonNull(service);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(serviceClass);
        Objects.requireNonNull(deadline);
        Objects.requireNonNull(runTime);
        Objects.requireNonNull(needs);
        Objects.requireNonNull(capacity);
        Objects.requireNonNull(budget);
        Objects.requireNonNull(maintenance);
        paths = List.copyOf(paths);
        quotas = Map.copyOf(quotas);
    }

    /**
     * What one request needs of a worker.
     *
     * @param cores processors
     * @param memoryBytes memory, in bytes
     * @param accelerators accelerators
     */
    public record Needs(int cores, long memoryBytes, int accelerators) {}

    /**
     * The workers that a pool holds.
     *
     * @param minWorkers never fewer than this
     * @param usualWorkers with ordinary demand
     * @param maxWorkers never more than this
     * @param spare whether the pool lends its workers first
     * @param borrowFrom the pools whose workers it may take; when empty, those of every pool
     */
    public record Capacity(
            int minWorkers,
            int usualWorkers,
            int maxWorkers,
            boolean spare,
            List<PoolId> borrowFrom) {
        /** Copies the list. */
        public Capacity {
            borrowFrom = List.copyOf(borrowFrom);
        }

        /** Makes a capacity that may be filled from every pool. */
        public Capacity(int minWorkers, int usualWorkers, int maxWorkers, boolean spare) {
            this(minWorkers, usualWorkers, maxWorkers, spare, List.of());
        }

        /** Returns whether workers of the pool may be taken. */
        public boolean mayBorrowFrom(PoolId lender) {
            return borrowFrom.isEmpty() || borrowFrom.contains(lender);
        }
    }

    /**
     * The availability budget: while maintenance and moves go on, the pool keeps at least this.
     *
     * @param maxUnavailable the most workers of the pool down or draining at once, for any cause
     * @param maxUnavailableZones the availability zones in which maintenance may go on at once
     */
    public record Budget(int maxUnavailable, int maxUnavailableZones) {}

    /**
     * How the pool's workers are maintained.
     *
     * @param every each worker is maintained once in this time
     * @param maxDrain the longest time that a drain waits for running work
     * @param yieldToSurge whether a wave pauses while the pool's demand surges
     */
    public record Maintenance(Duration every, Duration maxDrain, boolean yieldToSurge) {}

    /**
     * Whether requests of a path are idempotent.
     *
     * @param method the HTTP method, or {@code *}
     * @param prefix the path's start, with its leading slash
     * @param idempotent whether such a request may run twice
     */
    public record PathRule(String method, String prefix, boolean idempotent) {}

    /**
     * A customer's quota.
     *
     * @param slots the most slots of the service that the customer holds at once, over the fleet
     */
    public record Quota(int slots) {}
}
