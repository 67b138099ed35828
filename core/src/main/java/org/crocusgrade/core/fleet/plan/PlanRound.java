package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;

/**
 * One plan in the making.
 *
 * <p>At first every worker stays. Then each in turn is taken out, its best route is sought while
 * the others keep theirs, and it gets that route if the exact cost falls. A few sweeps over all
 * workers do: each accepted route lowers the sum of all costs, so the sweeps end, in a plan that no
 * single worker can better. Workers whose work ends soonest come first, so hosts with long work
 * move last; among them those of spare pools, which lend first, then those in the zone where their
 * pool has the most.
 *
 * <p>Slow where many workers change in each sweep: a search sums up each pool once and each sweep
 * makes a search for each worker.
 */
final class PlanRound {
    /** Sweeps over the workers. */
    private static final int SWEEPS = 2;

    /** Readings of the rewards that are tried, see {@link PoolForecast#rewards}. */
    private static final double[] SHARES = {1.0, 0.5};

    /** Pairs of workers that are weighed against each other in one plan. */
    private static final int MAX_TRIES = 64;

    /** Gains below this are rounding. */
    private static final double EPSILON = 1e-6;

    private final FleetView view;
    private final PlanSettings settings;
    private final DemandLearner learner;
    private final Map<PoolId, DemandLearner.Start> starts;
    private final Map<PoolId, Integer> indexes = new HashMap<>();
    private final List<PoolForecast> pools = new ArrayList<>();
    private final List<Candidate> workers = new ArrayList<>();
    private final List<RouteSearch> searches = new ArrayList<>();
    private final Set<Settled> settled = new HashSet<>();
    private long version;

    PlanRound(FleetView view, PlanSettings settings, DemandLearner learner) {
        this.view = view;
        this.settings = settings;
        this.learner = learner;
        this.starts = learner.starts(view.now());
        for (PoolView p : view.pools()) {
            double[] demand = learner.forecast(p.pool(), view.now(), starts.get(p.pool()));
            indexes.put(p.pool(), pools.size());
            double idle = view.weights().bufferWeight();
            pools.add(new PoolForecast(p, demand, known(p), settings, idle));
        }
        view.workers().forEach(this::add);
        pools.forEach(p -> p.startQueue(view.now()));
        workers.sort(order());
        int[] transits = transits();
        double moveWeight = view.weights().moveWeight();
        for (double share : SHARES) {
            searches.add(new RouteSearch(settings, pools, transits, moveWeight, share));
        }
    }

    private boolean known(PoolView pool) {
        if (pool.demand().isEmpty()) {
            return false;
        }
        DemandDigest digest = pool.demand().get();
        return digest.coverage() >= settings.minCoverage()
                && digest.at().plus(settings.stale()).isAfter(view.now());
    }

    private void add(WorkerView w) {
        Integer from = indexes.get(w.pool());
        Integer to = indexes.get(w.target());
        int arrival = Math.max(1, settings.stepsOf(w.drainTime().plus(settings.moveTime())));
        if (from != null && w.moving()) {
            pools.get(from).addLeaving(arrival);
        } else if (from != null && !w.serves()) {
            pools.get(from).addDown();
        }
        if (to == null || !(w.serves() || w.arriving())) {
            return;
        }
        Duration dwell = Duration.between(view.now(), w.lastMove().plus(settings.dwell()));
        int firstMove = dwell.isNegative() ? 0 : settings.stepsOf(dwell);
        Candidate worker =
                new Candidate(w, to, w.moving() ? arrival : 0, firstMove, settings.steps());
        workers.add(worker);
        place(worker, worker.route, 1);
    }

    private Comparator<Candidate> order() {
        Map<PoolId, Map<AvailabilityZone, Integer>> zones = new HashMap<>();
        for (Candidate c : workers) {
            zones.computeIfAbsent(c.view.target(), p -> new HashMap<>())
                    .merge(c.view.zone(), 1, Integer::sum);
        }
        return Comparator.<Candidate, Duration>comparing(c -> c.view.drainTime())
                .thenComparing(c -> !pools.get(c.pool).view.capacity().spare())
                .thenComparing(c -> c.view.running())
                .thenComparing(c -> -zones.get(c.view.target()).get(c.view.zone()))
                .thenComparing(c -> c.view.worker());
    }

    /** Returns the steps that a move out of each pool usually takes. */
    private int[] transits() {
        int[] transits = new int[pools.size()];
        for (int p = 0; p < transits.length; p++) {
            int pool = p;
            List<Duration> drains =
                    workers.stream()
                            .filter(c -> c.pool == pool && c.arrival == 0)
                            .map(c -> c.view.drainTime())
                            .sorted()
                            .toList();
            Duration usual = drains.isEmpty() ? Duration.ZERO : drains.get(drains.size() / 2);
            transits[p] = Math.max(1, settings.stepsOf(usual.plus(settings.moveTime())));
        }
        return transits;
    }

    Plan plan() {
        boolean changed = true;
        for (int i = 0; i < SWEEPS && changed; i++) {
            changed = false;
            for (Candidate worker : workers) {
                changed |= improve(worker);
            }
        }
        shorten();
        reconsider();
        Limits limits = new Limits(view);
        List<Plan.Move> moves = new ArrayList<>();
        for (Candidate worker : workers) {
            if (!worker.route.startsAt(0, worker.pool)) {
                continue;
            }
            Plan.Move move = move(worker);
            if (limits.admit(move)) {
                moves.add(move);
            }
        }
        return new Plan(view.now(), moves, holds(moves));
    }

    /**
     * For each worker that is to move now, tries to let one of another pool go in its place. This
     * finds what no single worker's change can: to take a worker from a pool that surges late
     * rather than from the one that surges next, which would have to be filled up again.
     */
    private void reconsider() {
        int tries = 0;
        for (Candidate moving : workers) {
            for (int p = 0; p < pools.size(); p++) {
                Candidate other = firstFree(p);
                if (!moving.route.startsAt(0, moving.pool)) {
                    break;
                }
                if (other == null || p == moving.pool || p == moving.route.pool(0)) {
                    continue;
                }
                if (++tries > MAX_TRIES) {
                    return;
                }
                tryInstead(moving, other);
            }
        }
    }

    private Candidate firstFree(int pool) {
        for (Candidate c : workers) {
            boolean free = c.pool == pool && c.arrival == 0 && c.firstMove == 0;
            if (free && !c.route.startsAt(0, pool)) {
                return c;
            }
        }
        return null;
    }

    private void tryInstead(Candidate moving, Candidate other) {
        Route oldMoving = moving.route;
        Route oldOther = other.route;
        double before = costOf(moving, other);
        Route stays = Route.stay(moving.pool, moving.arrival, settings.steps());
        swap(moving, other, stays, Route.stay(other.pool, other.arrival, settings.steps()));
        improve(other);
        improve(moving);
        improve(other);
        if (costOf(moving, other) > before - EPSILON) {
            swap(moving, other, oldMoving, oldOther);
        }
    }

    private double costOf(Candidate first, Candidate second) {
        double cost = 0;
        for (PoolForecast pool : pools) {
            cost += pool.cost();
        }
        int moves = first.route.moves(first.pool) + second.route.moves(second.pool);
        return cost + moves * view.weights().moveWeight();
    }

    /** Where one worker is to enter a pool now and another to leave it, lets the first go on. */
    private void shorten() {
        for (Candidate in : workers) {
            for (Candidate out : workers) {
                if (in.route.startsAt(0, in.pool)
                        && out.route.startsAt(0, out.pool)
                        && in.route.pool(0) == out.pool
                        && in.view.slots() == out.view.slots()) {
                    exchange(in, out);
                }
            }
        }
    }

    private void exchange(Candidate in, Candidate out) {
        Route oldIn = in.route;
        Route oldOut = out.route;
        int pool = out.pool;
        int[] stays = oldIn.places().clone();
        for (int t = 0; t < stays.length && !oldIn.serves(t); t++) {
            stays[t] = pool;
        }
        int[] goes = oldOut.places().clone();
        int transit = searches.get(0).transit(in, 0);
        for (int t = 0; t < transit && t < goes.length; t++) {
            goes[t] = ~oldOut.pool(t);
        }
        double before = costOf(in, out);
        swap(in, out, new Route(goes), new Route(stays));
        if (costOf(in, out) > before) {
            swap(in, out, oldIn, oldOut);
        }
    }

    private void swap(Candidate first, Candidate second, Route firstRoute, Route secondRoute) {
        place(first, first.route, -1);
        place(second, second.route, -1);
        first.route = firstRoute;
        second.route = secondRoute;
        place(first, first.route, 1);
        place(second, second.route, 1);
        changed();
    }

    private boolean improve(Candidate worker) {
        if (!pools.get(worker.pool).known) {
            return false;
        }
        Settled same = new Settled(worker);
        if (settled.contains(same)) {
            return false;
        }
        Route old = worker.route;
        place(worker, old, -1);
        Route best = old;
        double bestGain = Double.NaN;
        for (Route route : candidates(worker)) {
            if (route.equals(old)) {
                continue;
            }
            Set<Integer> touched = touched(old, route);
            double gain = costWith(worker, old, touched) - costWith(worker, route, touched);
            if (gain > EPSILON && (Double.isNaN(bestGain) || gain > bestGain)) {
                best = route;
                bestGain = gain;
            }
        }
        worker.route = best;
        place(worker, best, 1);
        if (best == old) {
            settled.add(same);
            return false;
        }
        changed();
        return true;
    }

    private void changed() {
        version++;
        settled.clear();
    }

    /** Returns the routes that are worth an exact look: to stay, or the best by each reading. */
    private List<Route> candidates(Candidate worker) {
        List<Route> routes = new ArrayList<>();
        routes.add(Route.stay(worker.pool, worker.arrival, settings.steps()));
        for (RouteSearch search : searches) {
            Route route = search.best(worker, version);
            if (!routes.contains(route)) {
                routes.add(route);
            }
            if (route.moves(worker.pool) > 1) {
                routes.add(route.cutToMoves(1, worker.pool));
            }
        }
        return routes;
    }

    private Set<Integer> touched(Route old, Route route) {
        Set<Integer> touched = new TreeSet<>();
        for (int t = 0; t < settings.steps(); t++) {
            if (old.places()[t] != route.places()[t]) {
                touched.add(old.pool(t));
                touched.add(route.pool(t));
            }
        }
        return touched;
    }

    private double costWith(Candidate worker, Route route, Set<Integer> touched) {
        place(worker, route, 1);
        double cost = route.moves(worker.pool) * view.weights().moveWeight();
        for (int p : touched) {
            cost += pools.get(p).cost();
        }
        place(worker, route, -1);
        return cost;
    }

    /** Puts a worker into the forecasts by its route, or takes it out. */
    private void place(Candidate worker, Route route, int sign) {
        int slots = worker.view.slots();
        int from = worker.pool;
        for (int t = 0; t < settings.steps(); t++) {
            int pool = route.pool(t);
            pools.get(pool).place(t, slots, route.serves(t), sign);
            if (t > 0 && route.pool(t - 1) != pool) {
                from = route.pool(t - 1);
            }
            if (!route.serves(t) && from != pool) {
                pools.get(from).leaving[t] += sign;
            }
        }
    }

    private Plan.Move move(Candidate worker) {
        Route route = worker.route;
        Route stay = Route.stay(worker.pool, worker.arrival, settings.steps());
        PoolForecast from = pools.get(worker.pool);
        PoolForecast to = pools.get(route.pool(0));
        PlanReason reason = reason(from, to);
        place(worker, route, -1);
        Set<Integer> touched = touched(stay, route);
        double others = -costWith(worker, route, touched) + costWith(worker, stay, touched);
        place(worker, stay, 1);
        double toCost = to.cost();
        double fromCost = from.cost();
        place(worker, stay, -1);
        place(worker, route, 1);
        double saved = toCost - to.cost();
        double added = from.cost() - fromCost;
        double moveCost = route.moves(worker.pool) * view.weights().moveWeight();
        Plan.Inputs inputs =
                new Plan.Inputs(
                        from.servingNow() + 1,
                        to.workers() - 1,
                        from.slotsNow(),
                        to.slotsNow(),
                        worker.view.drainTime(),
                        saved,
                        added,
                        others - saved + added + moveCost,
                        moveCost);
        return new Plan.Move(
                worker.view.worker(), from.view.pool(), to.view.pool(), reason, inputs);
    }

    private PlanReason reason(PoolForecast from, PoolForecast to) {
        if (to.servingNow() < to.view.capacity().minWorkers()) {
            return PlanReason.BELOW_MIN;
        }
        if (to.view.capacity().spare() && !learner.surging(to.view.pool())) {
            boolean expected = starts.containsKey(to.view.pool()) && to.wanted() > 0;
            return expected ? PlanReason.SURGE_EXPECTED : PlanReason.RELEASE;
        }
        boolean expected = !learner.surging(to.view.pool()) && starts.containsKey(to.view.pool());
        return expected ? PlanReason.SURGE_EXPECTED : PlanReason.SURGE;
    }

    private List<Plan.Hold> holds(List<Plan.Move> moves) {
        Set<PoolId> taking = new HashSet<>();
        moves.forEach(m -> taking.add(m.to()));
        List<Plan.Hold> holds = new ArrayList<>();
        for (int p = 0; p < pools.size(); p++) {
            PoolForecast pool = pools.get(p);
            if (!taking.contains(pool.view.pool())) {
                holds.add(
                        new Plan.Hold(
                                pool.view.pool(), holdReason(p), pool.workers(), pool.slotsNow()));
            }
        }
        return holds;
    }

    private PlanReason holdReason(int index) {
        PoolForecast pool = pools.get(index);
        if (!pool.known) {
            return PlanReason.DEMAND_UNKNOWN;
        }
        if (pool.wanted() == 0) {
            return PlanReason.BALANCED;
        }
        if (pool.atMax()) {
            return PlanReason.AT_MAX;
        }
        for (Candidate worker : workers) {
            for (int t = 1; t < settings.steps(); t++) {
                if (worker.route.startsAt(t, worker.pool) && worker.route.pool(t) == index) {
                    return PlanReason.NOT_YET;
                }
            }
        }
        return anyDonor(index) ? PlanReason.BALANCED : PlanReason.NO_DONOR;
    }

    private boolean anyDonor(int index) {
        for (Candidate c : workers) {
            PoolForecast from = pools.get(c.pool);
            if (c.pool != index
                    && c.arrival == 0
                    && c.firstMove == 0
                    && from.known
                    && from.mayLeave(0, 1)
                    && from.servingNow() > from.view.capacity().minWorkers()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Workers that are alike: what was found for one while nothing changed holds for the others.
     */
    private record Settled(
            int pool, int arrival, int firstMove, int slots, Duration drainTime, Route route) {
        Settled(Candidate c) {
            this(c.pool, c.arrival, c.firstMove, c.view.slots(), c.view.drainTime(), c.route);
        }
    }
}
