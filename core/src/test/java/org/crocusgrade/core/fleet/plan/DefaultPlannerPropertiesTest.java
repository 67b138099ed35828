package org.crocusgrade.core.fleet.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * Checks properties of every plan on random fleets, including hosts that are down, workers in any
 * state and missing or old demand.
 */
class DefaultPlannerPropertiesTest {
    private static final PlanSettings SETTINGS = PlanSettings.DEFAULT;
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int ROUNDS = 8;

    /**
     * Creates views of one fleet over some seconds, in which any worker may be moving, down or in
     * any state.
     */
    private static List<FleetView> views(int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int pools = 2 + random.nextInt(4);
        List<FleetView> views = new ArrayList<>();
        int workers = 4 + random.nextInt(24);
        PlanWeights weights = new PlanWeights(random.nextDouble() * 50, random.nextDouble() * 8);
        int[] min = new int[pools];
        for (int p = 0; p < pools; p++) {
            min[p] = random.nextInt(4);
        }
        for (int r = 0; r < ROUNDS; r++) {
            Instant now = NOW.plusSeconds(r);
            List<PoolView> poolViews = new ArrayList<>();
            for (int p = 0; p < pools; p++) {
                poolViews.add(pool(random, p, min[p], now));
            }
            List<WorkerView> workerViews = new ArrayList<>();
            for (int w = 0; w < workers; w++) {
                workerViews.add(worker(random, w, pools, now));
            }
            views.add(new FleetView(now, workerViews, poolViews, weights));
        }
        return views;
    }

    private static PoolView pool(UniformRandomProvider random, int p, int min, Instant now) {
        Optional<DemandDigest> demand = Optional.empty();
        if (random.nextDouble() < 0.9) {
            double surge = random.nextDouble() < 0.3 ? 100 : 5;
            demand =
                    Optional.of(
                            new DemandDigest(
                                    now.minusSeconds(random.nextInt(14)),
                                    random.nextDouble() * surge,
                                    random.nextDouble() < 0.3 ? random.nextDouble() * 80 : 0,
                                    4,
                                    0.3 + random.nextDouble() * 0.7));
        }
        return new PoolView(
                new PoolId("p" + p),
                new ServiceConfig.Capacity(min, min + 2, min + 2 + random.nextInt(8), p == 0),
                new ServiceConfig.Budget(1 + random.nextInt(3), 1),
                ServiceClass.PROMPT,
                demand);
    }

    private static WorkerView worker(UniformRandomProvider random, int w, int pools, Instant now) {
        PoolId pool = new PoolId("p" + random.nextInt(pools));
        boolean moving = random.nextDouble() < 0.15;
        WorkerState[] states = WorkerState.values();
        boolean healthy = random.nextDouble() < 0.8;
        return new WorkerView(
                new WorkerId("w" + w),
                new RackId("r" + w / 4),
                new AvailabilityZone("z" + w % 3),
                pool,
                moving ? new PoolId("p" + random.nextInt(pools)) : pool,
                healthy ? WorkerState.SERVING : states[random.nextInt(states.length)],
                random.nextDouble() < 0.9 ? HostEntry.State.LIVE : HostEntry.State.DOWN,
                8,
                random.nextInt(9),
                Duration.ofMillis(random.nextInt(6000)),
                now.minusMillis(random.nextInt(12_000)));
    }

    private static List<Plan> plans(List<FleetView> views) {
        Planner planner = new DefaultPlanner(SETTINGS);
        return views.stream().map(planner::plan).toList();
    }

    @Property(tries = 60)
    void movesKeepTheLimits(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        for (FleetView view : views(seed)) {
            Plan plan = new DefaultPlanner(SETTINGS).plan(view);
            Map<WorkerId, WorkerView> workers = new HashMap<>();
            view.workers().forEach(w -> workers.put(w.worker(), w));
            Set<WorkerId> moved = new HashSet<>();
            for (Plan.Move m : plan.moves()) {
                WorkerView w = workers.get(m.worker());
                assertThat("only a serving worker may move", w.serves(), is(true));
                assertThat("no worker moves twice", moved.add(m.worker()), is(true));
                assertThat(m.to(), not(equalTo(m.from())));
                assertThat(m.from(), equalTo(w.pool()));
                Duration stayed = Duration.between(w.lastMove(), view.now());
                assertThat(stayed, greaterThanOrEqualTo(SETTINGS.dwell()));
            }
            view.pools().forEach(p -> checkPool(view, plan, p));
        }
    }

    private static void checkPool(FleetView view, Plan plan, PoolView pool) {
        PoolId id = pool.pool();
        long out = plan.moves().stream().filter(m -> m.from().equals(id)).count();
        long in = plan.moves().stream().filter(m -> m.to().equals(id)).count();
        long serving =
                view.workers().stream().filter(w -> w.pool().equals(id) && w.serves()).count();
        long here = view.workers().stream().filter(w -> w.pool().equals(id)).count();
        long assigned = view.workers().stream().filter(w -> w.target().equals(id)).count();
        if (out > 0) {
            long left = serving - out;
            assertThat(left, greaterThanOrEqualTo((long) pool.capacity().minWorkers()));
            assertThat(
                    here - serving + out, lessThanOrEqualTo((long) pool.budget().maxUnavailable()));
        }
        if (in > 0) {
            assertThat(assigned + in - out, lessThanOrEqualTo((long) pool.capacity().maxWorkers()));
        }
    }

    @Property(tries = 30)
    void sameViewsGiveSamePlans(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        assertThat(plans(views(seed)), equalTo(plans(views(seed))));
    }

    @Property(tries = 30)
    void everyPoolGetsAMoveOrAHoldWithAReason(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        List<FleetView> views = views(seed);
        List<Plan> plans = plans(views);
        for (int i = 0; i < views.size(); i++) {
            Set<PoolId> named = new HashSet<>();
            for (Plan.Move m : plans.get(i).moves()) {
                named.add(m.to());
                Plan.Inputs in = m.inputs();
                assertThat(m.reason().text.length(), greaterThan(0));
                assertThat("net gain of a move", in.gain(), greaterThan(-1e-3));
                assertThat(in.fromWorkers(), greaterThan(0));
            }
            plans.get(i).holds().forEach(h -> named.add(h.pool()));
            assertThat(named.size(), is(views.get(i).pools().size()));
        }
    }

    @Property(tries = 30)
    void unknownDemandMovesNothingBetweenFilledPools(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        for (FleetView view : views(seed)) {
            List<PoolView> blind = new ArrayList<>();
            for (PoolView p : view.pools()) {
                ServiceConfig.Capacity any = new ServiceConfig.Capacity(0, 1, 1000, false);
                blind.add(
                        new PoolView(
                                p.pool(), any, p.budget(), p.serviceClass(), Optional.empty()));
            }
            FleetView none = new FleetView(view.now(), view.workers(), blind, view.weights());
            assertThat(new DefaultPlanner(SETTINGS).plan(none).moves().size(), is(0));
        }
    }
}
