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
 * Plays a demand trace to a planner under a clock of its own and scores the outcome. Demand is a
 * fluid that waits when a pool's workers do not serve it; a worker that moves first drains, serving
 * nobody, and then needs the move time. Digests reach the planner late, some are partial, some are
 * missing. Some requests of pools that must finish run long, and keep their worker from moving.
 */
public final class TraceDriver {
    /** When every trace starts. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration DIGEST_LAG = Duration.ofSeconds(1);
    private static final Duration DIGEST_WINDOW = Duration.ofSeconds(1);
    private static final double PARTIAL_SHARE = 0.1;
    private static final double PARTIAL_COVERAGE = 8.0 / 9;
    private static final double MISSING_SHARE = 0.02;
    private static final double LONG_PER_SECOND = 0.05;
    private static final double LONG_MIN_SECONDS = 2;
    private static final double LONG_MAX_SECONDS = 8;

    private final Deployment fleet;
    private final DemandTrace trace;
    private final Planner planner;
    private final PlanSettings settings;
    private final UniformRandomProvider random;
    private final double stepSeconds;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Deque<DemandDigest>> digests = new ArrayList<>();
    private final double[] queues;
    private final double[] offered;
    private final List<String> violations = new ArrayList<>();
    private Consumer<Plan> listener = plan -> {};
    private long nanos;
    private int at;
    private Score score = Score.ZERO;

    /** Makes a driver at the start of a trace, with each pool at its usual size. */
    public TraceDriver(
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
        this.queues = new double[fleet.pools().size()];
        this.offered = new double[fleet.pools().size()];
        for (int p = 0; p < fleet.pools().size(); p++) {
            digests.add(new ArrayDeque<>());
            for (int i = 0; i < fleet.pools().get(p).capacity().usualWorkers(); i++) {
                hosts.add(new Host(hosts.size(), p));
            }
        }
    }

    /** Sets who is shown each plan. */
    public void onPlan(Consumer<Plan> newListener) {
        listener = newListener;
    }

    /** Plays up to the given number of steps; returns whether the trace goes on. */
    public boolean play(int steps) {
        int perTick = (int) (settings.tick().toNanos() / trace.step().toNanos());
        for (int i = 0; i < steps && at < trace.slots().size(); i++) {
            if (at % perTick == 0) {
                plan();
            }
            step(trace.slots().get(at));
            at++;
        }
        return at < trace.slots().size();
    }

    /** Plays to the end. */
    public Score playAll() {
        play(trace.slots().size());
        return score;
    }

    /** Returns the score so far. */
    public Score score() {
        return score;
    }

    /** Returns the steps played. */
    public int played() {
        return at;
    }

    /** Returns what broke a limit: a least number, a budget, a dwell time, or a worker's state. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the workers of a pool that serve it. */
    public int serving(int pool) {
        return (int) hosts.stream().filter(h -> h.pool == pool && h.target == pool && h.up).count();
    }

    /** Returns the workers that move to a pool. */
    public int arriving(int pool) {
        return (int) hosts.stream().filter(h -> h.target == pool && h.pool != pool).count();
    }

    /** Returns where the workers stand now and what waits. */
    public Hindsight.Start stand() {
        int count = queues.length;
        Hindsight.Start stand =
                new Hindsight.Start(new int[count], new int[count], new int[count], queues.clone());
        for (int p = 0; p < count; p++) {
            stand.serving()[p] = serving(p);
            stand.arriving()[p] = arriving(p);
            stand.leaving()[p] = unavailable(p);
        }
        return stand;
    }

    /** Takes a whole zone down or brings it back. */
    public void zone(int zone, boolean up) {
        hosts.stream().filter(h -> h.id % fleet.zones() == zone).forEach(h -> h.up = up);
    }

    private Instant now() {
        return START.plusNanos(nanos);
    }

    private void plan() {
        FleetView view = view();
        Plan plan = planner.plan(view);
        for (Plan.Move m : plan.moves()) {
            apply(m, view);
        }
        listener.accept(plan);
    }

    private void apply(Plan.Move move, FleetView view) {
        Host host = hosts.get(Integer.parseInt(move.worker().value().substring(1)));
        int to = indexOf(move.to());
        Deployment.Pool from = fleet.pools().get(host.pool);
        if (!host.up || host.pool != host.target) {
            violations.add(move + ": the worker cannot move");
        }
        if (host.lastMove.plus(settings.dwell()).isAfter(view.now())) {
            violations.add(move + ": within the dwell time");
        }
        host.target = to;
        host.lastMove = now();
        host.doneNanos = nanos + drain(host).toNanos() + settings.moveTime().toNanos();
        score = score.plus(new Score(1, 0, 0, 0, 0));
        if (serving(host.pool) < from.capacity().minWorkers()) {
            violations.add(move + ": below the least number");
        }
        if (unavailable(host.pool) > from.budget().maxUnavailable()) {
            violations.add(move + ": over the budget");
        }
        if (total(to) > fleet.pools().get(to).capacity().maxWorkers()) {
            violations.add(move + ": over the greatest number");
        }
    }

    private int unavailable(int pool) {
        return (int)
                hosts.stream().filter(h -> h.pool == pool && (!h.up || h.target != pool)).count();
    }

    private int total(int pool) {
        return (int) hosts.stream().filter(h -> h.target == pool).count();
    }

    private void step(double[] slots) {
        for (Host h : hosts) {
            if (h.pool != h.target && h.up && h.doneNanos <= nanos) {
                h.pool = h.target;
            }
        }
        for (int p = 0; p < queues.length; p++) {
            double capacity = serving(p) * (double) Deployment.SLOTS;
            double work = slots[p] * stepSeconds;
            double done = FluidQueue.served(queues[p], slots[p], capacity, stepSeconds);
            double left = queues[p] + work - done;
            double idle = (capacity * stepSeconds - done) / Deployment.SLOTS;
            double moving = arriving(p) * stepSeconds;
            boolean spare = fleet.pools().get(p).capacity().spare();
            score =
                    score.plus(
                            new Score(
                                    0,
                                    spare ? 0 : idle + moving,
                                    spare ? idle + moving : 0,
                                    FluidQueue.waited(queues[p], left, stepSeconds),
                                    work));
            queues[p] = left;
            offered[p] += work;
            startLong(p, capacity == 0 ? 0 : done / (capacity * stepSeconds));
        }
        nanos += trace.step().toNanos();
        if (nanos % DIGEST_WINDOW.toNanos() == 0) {
            measure();
        }
    }

    private void startLong(int pool, double used) {
        Deployment.Pool p = fleet.pools().get(pool);
        for (Host h : hosts) {
            if (h.pool != pool || h.target != pool) {
                continue;
            }
            h.running = (int) Math.ceil(used * Deployment.SLOTS - 0.5);
            boolean starts =
                    p.kind() == ServiceClass.MUST_FINISH
                            && h.running > 0
                            && h.longUntil <= nanos
                            && random.nextDouble() < LONG_PER_SECOND * stepSeconds * used;
            if (starts) {
                double seconds =
                        LONG_MIN_SECONDS
                                + random.nextDouble() * (LONG_MAX_SECONDS - LONG_MIN_SECONDS);
                h.longUntil = nanos + (long) (seconds * 1e9);
            }
        }
    }

    private void measure() {
        double seconds = DIGEST_WINDOW.toNanos() / 1e9;
        for (int p = 0; p < queues.length; p++) {
            double share = random.nextDouble() < PARTIAL_SHARE ? PARTIAL_COVERAGE : 1;
            double running = Math.min(offered[p] / seconds, serving(p) * Deployment.SLOTS);
            digests.get(p)
                    .add(
                            new DemandDigest(
                                    now(),
                                    offered[p] / seconds * share,
                                    queues[p] * share,
                                    running * share,
                                    share));
            offered[p] = 0;
        }
    }

    private FleetView view() {
        List<PoolView> pools = new ArrayList<>();
        for (int p = 0; p < queues.length; p++) {
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

    private Optional<DemandDigest> latest(Deque<DemandDigest> known) {
        Instant seen = now().minus(DIGEST_LAG);
        DemandDigest last = null;
        while (!known.isEmpty() && !known.peekFirst().at().isAfter(seen)) {
            last = known.pollFirst();
        }
        if (last != null) {
            known.addFirst(last);
        }
        return Optional.ofNullable(last);
    }

    private WorkerView viewOf(Host h) {
        return new WorkerView(
                new WorkerId(h.name()),
                new RackId("r" + h.id / Deployment.RACK),
                new AvailabilityZone("z" + h.id % fleet.zones()),
                fleet.pools().get(h.pool).id(),
                fleet.pools().get(h.target).id(),
                h.pool == h.target ? WorkerState.SERVING : WorkerState.DRAINING,
                h.up ? HostEntry.State.LIVE : HostEntry.State.DOWN,
                Deployment.SLOTS,
                h.running,
                h.pool == h.target ? drain(h) : Duration.ofNanos(Math.max(0, h.left())),
                h.lastMove);
    }

    private Duration drain(Host h) {
        if (h.running == 0 && h.longUntil <= nanos) {
            return Duration.ZERO;
        }
        long run = fleet.pools().get(h.pool).runTime().toNanos();
        return Duration.ofNanos(Math.max(run, h.longUntil - nanos));
    }

    private int indexOf(PoolId pool) {
        for (int p = 0; p < queues.length; p++) {
            if (fleet.pools().get(p).id().equals(pool)) {
                return p;
            }
        }
        throw new IllegalArgumentException("a pool is not of this fleet");
    }

    /** One worker. */
    private final class Host {
        final int id;
        int pool;
        int target;
        int running;
        boolean up = true;
        long doneNanos;
        long longUntil;
        Instant lastMove = Instant.EPOCH;

        Host(int id, int pool) {
            this.id = id;
            this.pool = pool;
            this.target = pool;
        }

        String name() {
            return String.format("w%03d", id);
        }

        long left() {
            return doneNanos - nanos - settings.moveTime().toNanos();
        }
    }
}
