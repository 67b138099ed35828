package org.crocusgrade.bench.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.fleet.plan.DefaultPlanner;
import org.crocusgrade.core.fleet.plan.DemandDigest;
import org.crocusgrade.core.fleet.plan.FleetView;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.fleet.plan.Planner;
import org.crocusgrade.core.fleet.plan.PoolView;
import org.crocusgrade.core.fleet.plan.WorkerView;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.load.PeakSchedule;

/**
 * Measures the processor time of one plan, by the number of workers. There is one pool for about 29
 * workers, as in a region of 460 workers in 16 pools. The baseline assigns workers to pools in
 * proportion to demand.
 */
final class PlannerExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(58, 116, 232, 460, 928);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int WORKERS_PER_POOL = 29;
    private static final int WARM_UP_PLANS = 40;
    private static final int PLANS = 80;
    private static final Duration SURGE_LENGTH = Duration.ofSeconds(8);
    private static final double MEAN_UTILIZATION = 0.3;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double HIGH_QUANTILE = 0.99;

    @Override
    public String name() {
        return "planner-time";
    }

    @Override
    public String summary() {
        return "processor time of a plan by number of workers; baseline: a proportional planner";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "workers",
                                "plan p50 us",
                                "plan p99 us",
                                "proportional p50 us",
                                "moves per plan"));
        for (int size : SIZES) {
            progress.accept(size + " workers");
            table.add(measure(size, seed));
        }
        return table;
    }

    private static List<Double> measure(int workers, long seed) {
        int pools = Math.max(2, workers / WORKERS_PER_POOL);
        Duration length = Duration.ofSeconds(WARM_UP_PLANS + PLANS);
        PeakSchedule schedule = new PeakSchedule(pools, length, SURGE_LENGTH, SURGE_LENGTH, seed);
        Planner planner = new DefaultPlanner(PlanSettings.DEFAULT);
        double[] planned = new double[PLANS];
        double[] proportional = new double[PLANS];
        long moves = 0;
        for (int i = 0; i < WARM_UP_PLANS + PLANS; i++) {
            FleetView view = view(workers, pools, Duration.ofSeconds(i), schedule);
            long start = THREADS.getCurrentThreadCpuTime();
            int moveCount = planner.plan(view).moves().size();
            long middle = THREADS.getCurrentThreadCpuTime();
            int wanted = proportional(view);
            long end = THREADS.getCurrentThreadCpuTime();
            if (i >= WARM_UP_PLANS && wanted >= 0) {
                planned[i - WARM_UP_PLANS] = (middle - start) / NANOS_PER_MICRO;
                proportional[i - WARM_UP_PLANS] = (end - middle) / NANOS_PER_MICRO;
                moves += moveCount;
            }
        }
        Arrays.sort(planned);
        Arrays.sort(proportional);
        return List.of(
                (double) workers,
                planned[PLANS / 2],
                planned[(int) (PLANS * HIGH_QUANTILE)],
                proportional[PLANS / 2],
                moves / (double) PLANS);
    }

    /**
     * Computes the size of each pool in proportion to its demand, and returns the sum of the
     * differences from the current sizes.
     */
    private static int proportional(FleetView view) {
        double all = 0;
        for (PoolView pool : view.pools()) {
            all += pool.demand().map(DemandDigest::offeredByAll).orElse(0.0);
        }
        Map<PoolId, Integer> held = new java.util.TreeMap<>();
        view.workers().forEach(w -> held.merge(w.pool(), 1, Integer::sum));
        int misplaced = 0;
        for (PoolView pool : view.pools()) {
            double share = pool.demand().map(DemandDigest::offeredByAll).orElse(0.0) / all;
            int wanted = (int) Math.round(share * view.workers().size());
            misplaced += Math.abs(wanted - held.getOrDefault(pool.pool(), 0));
        }
        return misplaced;
    }

    private static FleetView view(int workers, int pools, Duration since, PeakSchedule schedule) {
        Instant now = Instant.EPOCH.plus(since);
        List<PoolView> views = new ArrayList<>();
        int usual = workers / pools;
        for (int p = 0; p < pools; p++) {
            double slots =
                    usual * StandinFleet.SLOTS * MEAN_UTILIZATION * schedule.factor(p, since);
            DemandDigest demand = new DemandDigest(now, slots, 0, slots, 1);
            views.add(
                    new PoolView(
                            pool(p),
                            new ServiceConfig.Capacity(1, usual, 4 * usual, p == pools - 1),
                            new ServiceConfig.Budget(1, 1),
                            ServiceClass.PROMPT,
                            Optional.of(demand)));
        }
        List<WorkerView> all = new ArrayList<>();
        for (int w = 0; w < workers; w++) {
            all.add(worker(w, pool(w % pools)));
        }
        return new FleetView(now, all, views, new PlanWeights(1, 1));
    }

    private static WorkerView worker(int index, PoolId pool) {
        int rack = index / StandinFleet.WORKERS_PER_RACK;
        return new WorkerView(
                new WorkerId("worker-" + index),
                new RackId("rack-" + rack),
                new AvailabilityZone("zone-" + rack % 3),
                pool,
                pool,
                WorkerState.SERVING,
                HostEntry.State.LIVE,
                StandinFleet.SLOTS,
                2,
                Duration.ofMillis(200),
                Instant.EPOCH);
    }

    private static PoolId pool(int index) {
        return new PoolId("pool-" + index);
    }
}
