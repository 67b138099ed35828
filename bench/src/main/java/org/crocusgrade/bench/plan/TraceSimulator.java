package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.fleet.plan.DemandDigest;
import org.crocusgrade.core.fleet.plan.FleetView;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.Planner;
import org.crocusgrade.core.fleet.plan.PoolView;
import org.crocusgrade.core.fleet.plan.WorkerView;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * Simulates a fleet under a demand trace, lets a planner move its workers, and scores the outcome.
 *
 * <p>Demand is a fluid that waits while the pool's workers are busy. A worker that is moved first
 * drains, during which it serves no demand, and then takes the move time. The digests that the
 * planner receives are at least one second old, a tenth are partial and 2 % are missing. In pools
 * of class must-finish, some requests run for 2 to 8 s, and a worker that is moved drains until
 * they end.
 */
public final class TraceSimulator {
    /** Simulated time at which every trace starts. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration DIGEST_LAG = Duration.ofSeconds(1);
    private static final Duration DIGEST_WINDOW = Duration.ofSeconds(1);
    private static final double PARTIAL_SHARE = 0.1;
    private static final double PARTIAL_COVERAGE = 8.0 / 9;
    private static final double MISSING_SHARE = 0.02;
    private static final double LONG_RUNS_PER_SECOND = 0.05;
    private static final double LONG_RUN_MIN_SECONDS = 2;
    private static final double LONG_RUN_MAX_SECONDS = 8;

    private final Deployment fleet;
    private final DemandTrace trace;
    private final Planner planner;
    private final PlanSettings settings;
    private final UniformRandomProvider random;
    private final double stepSeconds;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Deque<DemandDigest>> digests = new ArrayList<>();
    private final double[] queuedSlotSeconds;
    private final double[] offeredSlotSeconds;
    private final List<String> violations = new ArrayList<>();
    private Consumer<Plan> listener = plan -> {};
    private long nowNanos;
    private int stepIndex;
    private Score score = Score.ZERO;

    /** Creates a simulator at the start of the trace, with each pool at its usual size. */
    public TraceSimulator(
            Deployment fleet,
            DemandTrace trace,
            Planner planner,
            PlanSettings settings,
            long seed) {
        this.fleet = fleet;
        this.trace = trace;
        this.planner = planner;
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        this.stepSeconds = trace.step().toNanos() / 1e9;
        this.queuedSlotSeconds = new double[fleet.pools().size()];
        this.offeredSlotSeconds = new double[fleet.pools().size()];
        for (int p = 0; p < fleet.pools().size(); p++) {
            digests.add(new ArrayDeque<>());
            for (int i = 0; i < fleet.pools().get(p).capacity().usualWorkers(); i++) {
                hosts.add(new Host(hosts.size(), p));
            }
        }
    }

    /** Sets a listener that receives each plan after its moves were applied. */
    public void onPlan(Consumer<Plan> newListener) {
        listener = newListener;
    }

    /** Simulates up to the given number of steps; returns whether steps are left. */
    public boolean play(int steps) {
        int perTick = (int) (settings.tick().toNanos() / trace.step().toNanos());
        for (int i = 0; i < steps && stepIndex < trace.slots().size(); i++) {
            if (stepIndex % perTick == 0) {
                plan();
            }
            playStep(trace.slots().get(stepIndex));
            stepIndex++;
        }
        return stepIndex < trace.slots().size();
    }

    /** Simulates the remaining steps and returns the score of the whole trace. */
    public Score playAll() {
        play(trace.slots().size());
        return score;
    }

    public Score score() {
        return score;
    }

    public int stepsPlayed() {
        return stepIndex;
    }

    /**
     * Returns one message per violated limit: a pool's minimum or maximum size, its availability
     * budget, or a worker's dwell time or state.
     */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of workers that serve a pool. */
    public int serving(int pool) {
        return (int) hosts.stream().filter(h -> h.pool == pool && h.target == pool && h.up).count();
    }

    /** Returns the number of workers that are moving to a pool. */
    public int arriving(int pool) {
        return (int) hosts.stream().filter(h -> h.target == pool && h.pool != pool).count();
    }

    /** Returns the current placement of the workers and the queued work. */
    public OptimalPlanSearch.State currentState() {
        int count = queuedSlotSeconds.length;
        OptimalPlanSearch.State currentState =
                new OptimalPlanSearch.State(
                        new int[count], new int[count], new int[count], queuedSlotSeconds.clone());
        for (int p = 0; p < count; p++) {
            currentState.serving()[p] = serving(p);
            currentState.arriving()[p] = arriving(p);
            currentState.leaving()[p] = unavailable(p);
        }
        return currentState;
    }

    /** Sets all workers of an availability zone down or up. */
    public void setZoneUp(int zone, boolean up) {
        hosts.stream().filter(h -> h.id % fleet.zones() == zone).forEach(h -> h.up = up);
    }

    private Instant now() {
        return START.plusNanos(nowNanos);
    }

    private void plan() {
        FleetView view = view();
        Plan plan = planner.plan(view);
        for (Plan.Move m : plan.moves()) {
            applyMove(m, view);
        }
        listener.accept(plan);
    }

    private void applyMove(Plan.Move move, FleetView view) {
        Host host = hosts.get(Integer.parseInt(move.worker().value().substring(1)));
        int to = indexOf(move.to());
        Deployment.Pool from = fleet.pools().get(host.pool);
        if (!host.up || host.pool != host.target) {
            violations.add(move + ": worker is down or already moving");
        }
        if (host.lastMove.plus(settings.dwell()).isAfter(view.now())) {
            violations.add(move + ": worker moved less than the dwell time ago");
        }
        host.target = to;
        host.lastMove = now();
        host.arrivalNanos = nowNanos + drain(host).toNanos() + settings.moveTime().toNanos();
        score = score.plus(new Score(1, 0, 0, 0, 0));
        if (serving(host.pool) < from.capacity().minWorkers()) {
            violations.add(move + ": source pool is below its minimum size");
        }
        if (unavailable(host.pool) > from.budget().maxUnavailable()) {
            violations.add(move + ": source pool exceeds its budget of unavailable workers");
        }
        if (assignedWorkers(to) > fleet.pools().get(to).capacity().maxWorkers()) {
            violations.add(move + ": target pool is above its maximum size");
        }
    }

    private int unavailable(int pool) {
        return (int)
                hosts.stream().filter(h -> h.pool == pool && (!h.up || h.target != pool)).count();
    }

    private int assignedWorkers(int pool) {
        return (int) hosts.stream().filter(h -> h.target == pool).count();
    }

    private void playStep(double[] slots) {
        for (Host h : hosts) {
            if (h.pool != h.target && h.up && h.arrivalNanos <= nowNanos) {
                h.pool = h.target;
            }
        }
        for (int p = 0; p < queuedSlotSeconds.length; p++) {
            double capacity = serving(p) * (double) Deployment.SLOTS_PER_WORKER;
            double work = slots[p] * stepSeconds;
            double done = FluidQueue.served(queuedSlotSeconds[p], slots[p], capacity, stepSeconds);
            double remaining = queuedSlotSeconds[p] + work - done;
            double idle = (capacity * stepSeconds - done) / Deployment.SLOTS_PER_WORKER;
            double moving = arriving(p) * stepSeconds;
            boolean spare = fleet.pools().get(p).capacity().spare();
            score =
                    score.plus(
                            new Score(
                                    0,
                                    spare ? 0 : idle + moving,
                                    spare ? idle + moving : 0,
                                    FluidQueue.waited(queuedSlotSeconds[p], remaining, stepSeconds),
                                    work));
            queuedSlotSeconds[p] = remaining;
            offeredSlotSeconds[p] += work;
            startLongRuns(p, capacity == 0 ? 0 : done / (capacity * stepSeconds));
        }
        nowNanos += trace.step().toNanos();
        if (nowNanos % DIGEST_WINDOW.toNanos() == 0) {
            recordDigests();
        }
    }

    private void startLongRuns(int pool, double utilization) {
        Deployment.Pool p = fleet.pools().get(pool);
        for (Host h : hosts) {
            if (h.pool != pool || h.target != pool) {
                continue;
            }
            h.running = (int) Math.ceil(utilization * Deployment.SLOTS_PER_WORKER - 0.5);
            boolean startsLongRun =
                    p.kind() == ServiceClass.MUST_FINISH
                            && h.running > 0
                            && h.longRunEndNanos <= nowNanos
                            && random.nextDouble()
                                    < LONG_RUNS_PER_SECOND * stepSeconds * utilization;
            if (startsLongRun) {
                double seconds =
                        LONG_RUN_MIN_SECONDS
                                + random.nextDouble()
                                        * (LONG_RUN_MAX_SECONDS - LONG_RUN_MIN_SECONDS);
                h.longRunEndNanos = nowNanos + (long) (seconds * 1e9);
            }
        }
    }

    private void recordDigests() {
        double seconds = DIGEST_WINDOW.toNanos() / 1e9;
        for (int p = 0; p < queuedSlotSeconds.length; p++) {
            double share = random.nextDouble() < PARTIAL_SHARE ? PARTIAL_COVERAGE : 1;
            double running =
                    Math.min(
                            offeredSlotSeconds[p] / seconds,
                            serving(p) * Deployment.SLOTS_PER_WORKER);
            digests.get(p)
                    .add(
                            new DemandDigest(
                                    now(),
                                    offeredSlotSeconds[p] / seconds * share,
                                    queuedSlotSeconds[p] * share,
                                    running * share,
                                    share));
            offeredSlotSeconds[p] = 0;
        }
    }

    private FleetView view() {
        List<PoolView> pools = new ArrayList<>();
        for (int p = 0; p < queuedSlotSeconds.length; p++) {
            Deployment.Pool pool = fleet.pools().get(p);
            Optional<DemandDigest> digest = latest(digests.get(p));
            if (random.nextDouble() < MISSING_SHARE) {
                digest = Optional.empty();
            }
            pools.add(new PoolView(pool.id(), pool.capacity(), pool.budget(), pool.kind(), digest));
        }
        List<WorkerView> workers = new ArrayList<>();
        hosts.forEach(h -> workers.add(viewOf(h)));
        return new FleetView(now(), workers, pools, fleet.weights());
    }

    private Optional<DemandDigest> latest(Deque<DemandDigest> recentDigests) {
        Instant visibleUntil = now().minus(DIGEST_LAG);
        DemandDigest last = null;
        while (!recentDigests.isEmpty() && !recentDigests.peekFirst().at().isAfter(visibleUntil)) {
            last = recentDigests.pollFirst();
        }
        if (last != null) {
            recentDigests.addFirst(last);
        }
        return Optional.ofNullable(last);
    }

    private WorkerView viewOf(Host h) {
        return new WorkerView(
                new WorkerId(h.name()),
                new RackId("r" + h.id / Deployment.WORKERS_PER_RACK),
                new AvailabilityZone("z" + h.id % fleet.zones()),
                fleet.pools().get(h.pool).id(),
                fleet.pools().get(h.target).id(),
                h.pool == h.target ? WorkerState.SERVING : WorkerState.DRAINING,
                h.up ? HostEntry.State.LIVE : HostEntry.State.DOWN,
                Deployment.SLOTS_PER_WORKER,
                h.running,
                h.pool == h.target ? drain(h) : Duration.ofNanos(Math.max(0, h.drainNanosLeft())),
                h.lastMove);
    }

    private Duration drain(Host h) {
        if (h.running == 0 && h.longRunEndNanos <= nowNanos) {
            return Duration.ZERO;
        }
        long run = fleet.pools().get(h.pool).runTime().toNanos();
        return Duration.ofNanos(Math.max(run, h.longRunEndNanos - nowNanos));
    }

    private int indexOf(PoolId pool) {
        for (int p = 0; p < queuedSlotSeconds.length; p++) {
            if (fleet.pools().get(p).id().equals(pool)) {
                return p;
            }
        }
        throw new IllegalArgumentException("pool is not in this fleet");
    }

    /** State of one worker. */
    private final class Host {
        final int id;
        int pool;
        int target;
        int running;
        boolean up = true;
        long arrivalNanos;
        long longRunEndNanos;
        Instant lastMove = Instant.EPOCH;

        Host(int id, int pool) {
            this.id = id;
            this.pool = pool;
            this.target = pool;
        }

        String name() {
            return String.format("w%03d", id);
        }

        long drainNanosLeft() {
            return arrivalNanos - nowNanos - settings.moveTime().toNanos();
        }
    }
}
