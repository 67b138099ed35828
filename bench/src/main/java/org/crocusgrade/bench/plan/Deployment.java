package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.id.PoolId;

/**
 * A fleet that traces are made for.
 *
 * @param name its name
 * @param pools its pools, in the order in which they surge
 * @param zones the number of its availability zones
 * @param weights what it pays for
 */
public record Deployment(String name, List<Pool> pools, int zones, PlanWeights weights) {
    /** Slots of each worker. */
    public static final int SLOTS = 8;

    /** Workers of each rack. */
    public static final int RACK = 4;

    private static final int MIN_WORKERS = 2;
    private static final int MAX_WORKERS = 24;
    private static final ServiceConfig.Budget BUDGET = new ServiceConfig.Budget(3, 1);

    /** Copies the list. */
    public Deployment {
        Objects.requireNonNull(name);
        Objects.requireNonNull(weights);
        pools = List.copyOf(pools);
    }

    /** Returns the number of its workers. */
    public int workers() {
        return pools.stream().mapToInt(p -> p.capacity().usualWorkers()).sum();
    }

    /** Returns it with other weights. */
    public Deployment with(PlanWeights other) {
        return new Deployment(name, pools, zones, other);
    }

    /** Laineflux today: a move may disturb a long reconciliation, so moves weigh most. */
    public static Deployment laineflux() {
        return new Deployment(
                "laineflux",
                List.of(
                        pool("lot-valuation", 6, ServiceClass.PROMPT, false),
                        pool("fleece-classing", 6, ServiceClass.PROMPT, false),
                        pool("clip-accounts", 8, ServiceClass.MUST_FINISH, false),
                        pool("mill-sales", 9, ServiceClass.PROMPT, false),
                        pool("broker-desk", 6, ServiceClass.MUST_FINISH, true)),
                3,
                new PlanWeights(80, 0.25));
    }

    /** The Authority today: idle hosts are paid for, so the buffer weighs most. */
    public static Deployment authority() {
        return new Deployment(
                "authority",
                List.of(
                        pool("slot-holds", 6, ServiceClass.PROMPT, false),
                        pool("group-bookings", 6, ServiceClass.PROMPT, false),
                        pool("walk-in", 8, ServiceClass.PROMPT, false),
                        pool("tour-operators", 9, ServiceClass.MUST_FINISH, false),
                        pool("clerk-desk", 6, ServiceClass.MUST_FINISH, true)),
                3,
                new PlanWeights(2, 32));
    }

    /** A fleet small enough for an exact search, with another one's weights. */
    public static Deployment small(Deployment weighedAs) {
        ServiceConfig.Budget budget = new ServiceConfig.Budget(2, 1);
        return new Deployment(
                weighedAs.name() + "-small",
                List.of(
                        pool("a", new ServiceConfig.Capacity(1, 2, 5, false), budget),
                        pool("b", new ServiceConfig.Capacity(1, 2, 5, false), budget),
                        pool("c", new ServiceConfig.Capacity(1, 2, 5, true), budget)),
                2,
                weighedAs.weights());
    }

    /** One region at the later size: 460 workers in 16 pools. */
    public static Deployment later(PlanWeights weights) {
        List<Pool> pools = new java.util.ArrayList<>();
        for (int i = 0; i < 16; i++) {
            int size = i < 12 ? 29 : 28;
            ServiceClass kind = i % 3 == 2 ? ServiceClass.MUST_FINISH : ServiceClass.PROMPT;
            pools.add(
                    new Pool(
                            new PoolId("pool-" + (char) ('a' + i)),
                            new ServiceConfig.Capacity(4, size, 90, i >= 14),
                            new ServiceConfig.Budget(8, 1),
                            kind,
                            Duration.ofMillis(200)));
        }
        return new Deployment("later", pools, 3, weights);
    }

    private static Pool pool(String name, int workers, ServiceClass kind, boolean spare) {
        boolean prompt = kind == ServiceClass.PROMPT;
        return new Pool(
                new PoolId(name),
                new ServiceConfig.Capacity(MIN_WORKERS, workers, MAX_WORKERS, spare),
                BUDGET,
                kind,
                Duration.ofMillis(prompt ? 200 : 800));
    }

    private static Pool pool(
            String name, ServiceConfig.Capacity capacity, ServiceConfig.Budget budget) {
        Duration run = Duration.ofMillis(80);
        return new Pool(new PoolId(name), capacity, budget, ServiceClass.PROMPT, run);
    }

    /**
     * One of its pools.
     *
     * @param id the pool
     * @param capacity the workers that it holds
     * @param budget its availability budget
     * @param kind what matters most about its requests
     * @param runTime the mean time that a request runs
     */
    public record Pool(
            PoolId id,
            ServiceConfig.Capacity capacity,
            ServiceConfig.Budget budget,
            ServiceClass kind,
            Duration runTime) {}
}
