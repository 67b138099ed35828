package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.id.PoolId;

/**
 * A fleet for which demand traces are generated.
 *
 * @param name its name in reports
 * @param pools its pools, in the order in which they surge
 * @param zones number of availability zones
 * @param weights the cost weights of its planner
 */
public record Deployment(String name, List<Pool> pools, int zones, PlanWeights weights) {
    /** Slots of each worker. */
    public static final int SLOTS_PER_WORKER = 8;

    /** Workers of each rack. */
    public static final int WORKERS_PER_RACK = 4;

    private static final int MIN_WORKERS = 2;
    private static final int MAX_WORKERS = 24;
    private static final ServiceConfig.Budget BUDGET = new ServiceConfig.Budget(3, 1);

    /** Copies the list of pools. */
    public Deployment {
        Objects.requireNonNull(name);
        Objects.requireNonNull(weights);
        pools = List.copyOf(pools);
    }

    /** Returns the total number of workers. */
    public int workers() {
        return pools.stream().mapToInt(p -> p.capacity().usualWorkers()).sum();
    }

    /** Returns the same fleet with other cost weights. */
    public Deployment withWeights(PlanWeights other) {
        return new Deployment(name, pools, zones, other);
    }

    /**
     * A fleet of 35 workers whose moves are the dominant cost, because a move may disturb a long
     * reconciliation.
     */
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

    /**
     * A fleet of 35 workers whose buffer of idle workers is the dominant cost, because idle hosts
     * are billed.
     */
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

    /**
     * Returns a fleet that is small enough for {@link OptimalPlanSearch}, with the cost weights of
     * another one.
     */
    public static Deployment small(Deployment weightsOf) {
        ServiceConfig.Budget budget = new ServiceConfig.Budget(2, 1);
        return new Deployment(
                weightsOf.name() + "-small",
                List.of(
                        pool("a", new ServiceConfig.Capacity(1, 2, 5, false), budget),
                        pool("b", new ServiceConfig.Capacity(1, 2, 5, false), budget),
                        pool("c", new ServiceConfig.Capacity(1, 2, 5, true), budget)),
                2,
                weightsOf.weights());
    }

    /** Returns a fleet of one region at its planned future size: 460 workers in 16 pools. */
    public static Deployment largeRegion(PlanWeights weights) {
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
     * A pool of the fleet.
     *
     * @param id its id
     * @param capacity its minimum, usual and maximum number of workers
     * @param budget its availability budget
     * @param kind the class of its service
     * @param runTime mean run time of its requests
     */
    public record Pool(
            PoolId id,
            ServiceConfig.Capacity capacity,
            ServiceConfig.Budget budget,
            ServiceClass kind,
            Duration runTime) {}
}
