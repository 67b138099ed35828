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
 * Computes one plan by local search over the workers' routes.
 *
 * <p>Initially every worker stays. Then, in sweeps over all workers, each worker is taken out of
 * the forecasts, its best route is searched while the others keep theirs, and it gets that route if
 * the exact cost falls. A few sweeps suffice: each accepted route lowers the total cost, so the
 * sweeps converge towards a plan that no change of a single route improves. Workers whose requests
 * end soonest are visited first, so that workers with long requests move last. Ties go first to
 * workers of spare pools, which lend first, then to those with fewer running requests, then to
 * those in the availability zone where their pool has the most workers.
 *
 * <p>Slow if many routes change in each sweep: a sweep runs the searches for each worker, and each
 * search recomputes the rewards of every pool that has changed.
 */
final class PlanSearch {
    /** Maximum number of sweeps over the workers. */
    private static final int MAX_SWEEPS = 2;

    /**
     * Shares with which the rewards are estimated, one search for each; see {@link
     * PoolForecast#rewards}.
     */
    private static final double[] REWARD_SHARES = {1.0, 0.5};

    /** Maximum number of replacements tried in one plan. */
    private static final int MAX_REPLACEMENT_TRIES = 64;

    /** Gains up to this are attributed to rounding errors. */
    private static final double EPSILON = 1e-6;

    private final FleetView view;
    private final PlanSettings settings;
    private final DemandForecaster forecaster;
    private final Map<PoolId, DemandForecaster.Start> starts;
    private final Map<PoolId, Integer> indexes = new HashMap<>();
    private final List<PoolForecast> pools = new ArrayList<>();
    private final List<PlannedWorker> workers = new ArrayList<>();
    private final List<RouteSearch> searches = new ArrayList<>();
    private final Set<WorkerKey> unimprovable = new HashSet<>();
    private long version;

    PlanSearch(FleetView view, PlanSettings settings, DemandForecaster forecaster) {
        this.view = view;
        this.settings = settings;
        this.forecaster = forecaster;
        this.starts = forecaster.starts(view.now());
        for (PoolView p : view.pools()) {
            double[] demand = forecaster.forecast(p.pool(), view.now(), starts.get(p.pool()));
            indexes.put(p.pool(), pools.size());
            double idle = view.weights().bufferWeight();
            pools.add(new PoolForecast(p, demand, isDemandKnown(p), settings, idle));
        }
        view.workers().forEach(this::addWorker);
        pools.forEach(p -> p.initializeQueue(view.now()));
        workers.sort(searchOrder());
        int[] transits = transits();
        double moveWeight = view.weights().moveWeight();
        for (double share : REWARD_SHARES) {
            searches.add(new RouteSearch(settings, pools, transits, moveWeight, share));
        }
    }

    private boolean isDemandKnown(PoolView pool) {
        if (pool.demand().isEmpty()) {
            return false;
        }
        DemandDigest digest = pool.demand().get();
        return digest.coverage() >= settings.minCoverage()
                && digest.at().plus(settings.stale()).isAfter(view.now());
    }

    private void addWorker(WorkerView w) {
        Integer from = indexes.get(w.pool());
        Integer to = indexes.get(w.target());
        int arrival = Math.max(1, settings.stepsOf(w.drainTime().plus(settings.moveTime())));
        if (from != null && w.moving()) {
            pools.get(from).addLeavingWorker(arrival);
        } else if (from != null && !w.serves()) {
            pools.get(from).addDownWorker();
        }
        if (to == null || !(w.serves() || w.arriving())) {
            return;
        }
        Duration dwell = Duration.between(view.now(), w.lastMove().plus(settings.dwell()));
        int firstMove = dwell.isNegative() ? 0 : settings.stepsOf(dwell);
        PlannedWorker worker =
                new PlannedWorker(w, to, w.moving() ? arrival : 0, firstMove, settings.steps());
        workers.add(worker);
        applyRoute(worker, worker.route, 1);
    }

    private Comparator<PlannedWorker> searchOrder() {
        Map<PoolId, Map<AvailabilityZone, Integer>> zones = new HashMap<>();
        for (PlannedWorker w : workers) {
            zones.computeIfAbsent(w.view.target(), p -> new HashMap<>())
                    .merge(w.view.zone(), 1, Integer::sum);
        }
        return Comparator.<PlannedWorker, Duration>comparing(w -> w.view.drainTime())
                .thenComparing(w -> !pools.get(w.pool).view.capacity().spare())
                .thenComparing(w -> w.view.running())
                .thenComparing(w -> -zones.get(w.view.target()).get(w.view.zone()))
                .thenComparing(w -> w.view.worker());
    }

    /**
     * Returns for each pool the steps that a move out of it takes, from the median drain time of
     * its workers.
     */
    private int[] transits() {
        int[] transits = new int[pools.size()];
        for (int p = 0; p < transits.length; p++) {
            int pool = p;
            List<Duration> drains =
                    workers.stream()
                            .filter(w -> w.pool == pool && w.arrival == 0)
                            .map(w -> w.view.drainTime())
                            .sorted()
                            .toList();
            Duration usual = drains.isEmpty() ? Duration.ZERO : drains.get(drains.size() / 2);
            transits[p] = Math.max(1, settings.stepsOf(usual.plus(settings.moveTime())));
        }
        return transits;
    }

    Plan plan() {
        boolean changed = true;
        for (int i = 0; i < MAX_SWEEPS && changed; i++) {
            changed = false;
            for (PlannedWorker worker : workers) {
                changed |= improve(worker);
            }
        }
        exchangeMoves();
        tryReplacements();
        MoveLimits limits = new MoveLimits(view);
        List<Plan.Move> moves = new ArrayList<>();
        for (PlannedWorker worker : workers) {
            if (!worker.route.startsMoveAt(0, worker.pool)) {
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
     * For each worker that is to move now, tries to move a worker of another pool in its place.
     * This finds improvements that no change of a single route can: taking a worker from a pool
     * that surges later rather than from the pool that surges next, which would have to be filled
     * up again.
     */
    private void tryReplacements() {
        int tries = 0;
        for (PlannedWorker moving : workers) {
            for (int p = 0; p < pools.size(); p++) {
                PlannedWorker other = firstStaying(p);
                if (!moving.route.startsMoveAt(0, moving.pool)) {
                    break;
                }
                if (other == null || p == moving.pool || p == moving.route.pool(0)) {
                    continue;
                }
                if (++tries > MAX_REPLACEMENT_TRIES) {
                    return;
                }
                tryReplacement(moving, other);
            }
        }
    }

    /** Returns the first worker of the pool that may move now but is not to, or null. */
    private PlannedWorker firstStaying(int pool) {
        for (PlannedWorker w : workers) {
            boolean free = w.pool == pool && w.arrival == 0 && w.firstMove == 0;
            if (free && !w.route.startsMoveAt(0, pool)) {
                return w;
            }
        }
        return null;
    }

    private void tryReplacement(PlannedWorker moving, PlannedWorker other) {
        Route oldMoving = moving.route;
        Route oldOther = other.route;
        double before = costOf(moving, other);
        Route stays = Route.stay(moving.pool, moving.arrival, settings.steps());
        setRoutes(moving, other, stays, Route.stay(other.pool, other.arrival, settings.steps()));
        improve(other);
        improve(moving);
        improve(other);
        if (costOf(moving, other) > before - EPSILON) {
            setRoutes(moving, other, oldMoving, oldOther);
        }
    }

    private double costOf(PlannedWorker first, PlannedWorker second) {
        double cost = 0;
        for (PoolForecast pool : pools) {
            cost += pool.cost();
        }
        int moves = first.route.moves(first.pool) + second.route.moves(second.pool);
        return cost + moves * view.weights().moveWeight();
    }

    /**
     * If one worker is to move into a pool now and another of the same size out of it, tries to
     * replace the two moves by one: the first goes where the second was to go, and the second
     * stays.
     */
    private void exchangeMoves() {
        for (PlannedWorker in : workers) {
            for (PlannedWorker out : workers) {
                if (in.route.startsMoveAt(0, in.pool)
                        && out.route.startsMoveAt(0, out.pool)
                        && in.route.pool(0) == out.pool
                        && in.view.slots() == out.view.slots()) {
                    tryExchange(in, out);
                }
            }
        }
    }

    private void tryExchange(PlannedWorker in, PlannedWorker out) {
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
        setRoutes(in, out, new Route(goes), new Route(stays));
        if (costOf(in, out) > before) {
            setRoutes(in, out, oldIn, oldOut);
        }
    }

    /** Replaces the routes of two workers, in the forecasts too. */
    private void setRoutes(
            PlannedWorker first, PlannedWorker second, Route firstRoute, Route secondRoute) {
        applyRoute(first, first.route, -1);
        applyRoute(second, second.route, -1);
        first.route = firstRoute;
        second.route = secondRoute;
        applyRoute(first, first.route, 1);
        applyRoute(second, second.route, 1);
        invalidateSearches();
    }

    /** Gives the worker the best route that lowers the cost, if any; returns whether it did. */
    private boolean improve(PlannedWorker worker) {
        if (!pools.get(worker.pool).demandKnown) {
            return false;
        }
        WorkerKey key = new WorkerKey(worker);
        if (unimprovable.contains(key)) {
            return false;
        }
        Route old = worker.route;
        applyRoute(worker, old, -1);
        Route best = old;
        double bestGain = Double.NaN;
        for (Route route : candidateRoutes(worker)) {
            if (route.equals(old)) {
                continue;
            }
            Set<Integer> affected = affectedPools(old, route);
            double gain = costWith(worker, old, affected) - costWith(worker, route, affected);
            if (gain > EPSILON && (Double.isNaN(bestGain) || gain > bestGain)) {
                best = route;
                bestGain = gain;
            }
        }
        worker.route = best;
        applyRoute(worker, best, 1);
        if (best == old) {
            unimprovable.add(key);
            return false;
        }
        invalidateSearches();
        return true;
    }

    private void invalidateSearches() {
        version++;
        unimprovable.clear();
    }

    /**
     * Returns the routes to evaluate by their exact cost: staying, the best route of each search,
     * and its first move alone.
     */
    private List<Route> candidateRoutes(PlannedWorker worker) {
        List<Route> routes = new ArrayList<>();
        routes.add(Route.stay(worker.pool, worker.arrival, settings.steps()));
        for (RouteSearch search : searches) {
            Route route = search.best(worker, version);
            if (!routes.contains(route)) {
                routes.add(route);
            }
            if (route.moves(worker.pool) > 1) {
                routes.add(route.keepFirstMoves(1, worker.pool));
            }
        }
        return routes;
    }

    /** Returns the pools in which the two routes differ, by index. */
    private Set<Integer> affectedPools(Route old, Route route) {
        Set<Integer> affected = new TreeSet<>();
        for (int t = 0; t < settings.steps(); t++) {
            if (old.places()[t] != route.places()[t]) {
                affected.add(old.pool(t));
                affected.add(route.pool(t));
            }
        }
        return affected;
    }

    /** Returns the cost of the affected pools and of the worker's moves if it takes the route. */
    private double costWith(PlannedWorker worker, Route route, Set<Integer> affected) {
        applyRoute(worker, route, 1);
        double cost = route.moves(worker.pool) * view.weights().moveWeight();
        for (int p : affected) {
            cost += pools.get(p).cost();
        }
        applyRoute(worker, route, -1);
        return cost;
    }

    /** Adds a worker with its route to the forecasts ({@code sign} 1), or removes it (-1). */
    private void applyRoute(PlannedWorker worker, Route route, int sign) {
        int slots = worker.view.slots();
        int from = worker.pool;
        for (int t = 0; t < settings.steps(); t++) {
            int pool = route.pool(t);
            pools.get(pool).addWorker(t, slots, route.serves(t), sign);
            if (t > 0 && route.pool(t - 1) != pool) {
                from = route.pool(t - 1);
            }
            if (!route.serves(t) && from != pool) {
                pools.get(from).leaving[t] += sign;
            }
        }
    }

    private Plan.Move move(PlannedWorker worker) {
        Route route = worker.route;
        Route stay = Route.stay(worker.pool, worker.arrival, settings.steps());
        PoolForecast from = pools.get(worker.pool);
        PoolForecast to = pools.get(route.pool(0));
        PlanReason reason = reason(from, to);
        applyRoute(worker, route, -1);
        Set<Integer> affected = affectedPools(stay, route);
        double others = -costWith(worker, route, affected) + costWith(worker, stay, affected);
        applyRoute(worker, stay, 1);
        double toCost = to.cost();
        double fromCost = from.cost();
        applyRoute(worker, stay, -1);
        applyRoute(worker, route, 1);
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
        if (to.view.capacity().spare() && !forecaster.surging(to.view.pool())) {
            boolean expected = starts.containsKey(to.view.pool()) && to.missingWorkers() > 0;
            return expected ? PlanReason.SURGE_EXPECTED : PlanReason.RELEASE;
        }
        boolean expected =
                !forecaster.surging(to.view.pool()) && starts.containsKey(to.view.pool());
        return expected ? PlanReason.SURGE_EXPECTED : PlanReason.SURGE;
    }

    private List<Plan.Hold> holds(List<Plan.Move> moves) {
        Set<PoolId> receiving = new HashSet<>();
        moves.forEach(m -> receiving.add(m.to()));
        List<Plan.Hold> holds = new ArrayList<>();
        for (int p = 0; p < pools.size(); p++) {
            PoolForecast pool = pools.get(p);
            if (!receiving.contains(pool.view.pool())) {
                holds.add(
                        new Plan.Hold(
                                pool.view.pool(), holdReason(p), pool.workers(), pool.slotsNow()));
            }
        }
        return holds;
    }

    private PlanReason holdReason(int index) {
        PoolForecast pool = pools.get(index);
        if (!pool.demandKnown) {
            return PlanReason.DEMAND_UNKNOWN;
        }
        if (pool.missingWorkers() == 0) {
            return PlanReason.BALANCED;
        }
        if (pool.atMax()) {
            return PlanReason.AT_MAX;
        }
        for (PlannedWorker worker : workers) {
            for (int t = 1; t < settings.steps(); t++) {
                if (worker.route.startsMoveAt(t, worker.pool) && worker.route.pool(t) == index) {
                    return PlanReason.NOT_YET;
                }
            }
        }
        return hasDonor(index) ? PlanReason.BALANCED : PlanReason.NO_DONOR;
    }

    private boolean hasDonor(int index) {
        for (PlannedWorker w : workers) {
            PoolForecast from = pools.get(w.pool);
            if (w.pool != index
                    && w.arrival == 0
                    && w.firstMove == 0
                    && from.demandKnown
                    && from.mayLeave(0, 1)
                    && from.servingNow() > from.view.capacity().minWorkers()) {
                return true;
            }
        }
        return false;
    }

    /**
     * The properties of a worker that its search depends on: if no better route was found for a
     * worker, none exists for another with the same key as long as no route changes.
     */
    private record WorkerKey(
            int pool, int arrival, int firstMove, int slots, Duration drainTime, Route route) {
        WorkerKey(PlannedWorker w) {
            this(w.pool, w.arrival, w.firstMove, w.view.slots(), w.view.drainTime(), w.route);
        }
    }
}
