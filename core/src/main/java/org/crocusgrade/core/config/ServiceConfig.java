package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;

/**
 * The validated configuration of one service.
 *
 * @param service the service's name
 * @param pool the pool whose workers run the service; a pool belongs to one service
 * @param serviceClass whether requests favor low latency or completion
 * @param deadline the time within which a request must be answered, if the caller gives no deadline
 * @param runTime the expected run time of a request until run times have been observed
 * @param queueBound the maximum number of requests that wait at one daemon
 * @param needs the resources of a worker that one request needs
 * @param capacity the size of the pool
 * @param budget how many of the pool's workers may be unavailable at once
 * @param maintenance how the pool's workers are maintained
 * @param cancelRunning whether a running request is cancelled at its worker when its caller
 *     disconnects or its deadline passes
 * @param keyRequired whether requests that are not idempotent must have an idempotency key
 * @param paths rules that override, by path, whether the method makes a request idempotent; the
 *     first match applies
 * @param quotas the quotas of customers; those without an entry have none
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
    /** Throws NullPointerException if a field is null, and copies the collections. */
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
     * The resources of a worker that one request needs.
     *
     * @param cores the number of processor cores
     * @param memoryBytes the memory, in bytes
     * @param accelerators the number of accelerators
     */
    public record Needs(int cores, long memoryBytes, int accelerators) {}

    /**
     * The size of a pool, in workers, and the pools that it may borrow from.
     *
     * @param minWorkers the minimum
     * @param usualWorkers the number for ordinary demand
     * @param maxWorkers the maximum
     * @param spare whether the pool is the first to lend its workers
     * @param borrowFrom the pools that it may borrow workers from; if empty, every pool
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

        /** Creates a capacity that may borrow from every pool. */
        public Capacity(int minWorkers, int usualWorkers, int maxWorkers, boolean spare) {
            this(minWorkers, usualWorkers, maxWorkers, spare, List.of());
        }

        /** Returns whether workers may be borrowed from the pool. */
        public boolean mayBorrowFrom(PoolId lender) {
            return borrowFrom.isEmpty() || borrowFrom.contains(lender);
        }
    }

    /**
     * The availability budget, which limits how much maintenance and moves may take out of service
     * at once.
     *
     * @param maxUnavailable the maximum number of workers of the pool that are down or draining at
     *     once, for any cause
     * @param maxUnavailableZones the maximum number of availability zones with maintenance at once
     */
    public record Budget(int maxUnavailable, int maxUnavailableZones) {}

    /**
     * How the pool's workers are maintained.
     *
     * @param every the interval at which each worker is maintained
     * @param maxDrain the maximum time that a drain waits for running work
     * @param yieldToSurge whether a wave pauses while the pool's demand surges
     */
    public record Maintenance(Duration every, Duration maxDrain, boolean yieldToSurge) {}

    /**
     * A rule that declares requests of a path to be idempotent or not.
     *
     * @param method the HTTP method, or {@code *} for any
     * @param prefix the path prefix, with its leading slash
     * @param idempotent whether such a request may run more than once
     */
    public record PathRule(String method, String prefix, boolean idempotent) {}

    /**
     * A customer's quota.
     *
     * @param slots the maximum number of slots of the service that the customer holds at once, in
     *     the whole fleet
     */
    public record Quota(int slots) {}
}
