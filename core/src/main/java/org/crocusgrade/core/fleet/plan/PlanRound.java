package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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

    /** Gains below this are rounding. */
    private static final double EPSILON = 1e-6;

    private final FleetView view;
    private final PlanSettings settings;
    private final DemandLearner learner;
    private final Map<PoolId, DemandLearner.Start> starts;
    private final Map<PoolId, Integer> indexes = new HashMap<>();
    private final List<PoolForecast> pools = new ArrayList<>();
    private final List<Candidate> workers = new ArrayList<>();
    private final RouteSearch search;

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
        workers.sort(order());
        this.search = new RouteSearch(settings, pools, transits(), view.weights().moveWeight());
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
        int drain = settings.stepsOf(w.drainTime());
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
                new Candidate(w, to, w.moving() ? arrival : 0, firstMove, drain, settings.steps());
        workers.add(worker);
        place(worker, worker.route, 1);
    }

    private Comparator<Candidate> order() {
        Map<PoolId, Map<AvailabilityZone, Integer>> zones = new HashMap<>();
        for (Candidate c : workers) {
            zones.computeIfAbsent(c.view.target(), p -> new HashMap<>())
                    .merge(c.view.zone(), 1, Integer::sum);
        }
        return Comparator.<Candidate>comparingInt(c -> c.drainSteps)
                .thenComparing(c -> !pools.get(c.pool).view.capacity().spare())
                .thenComparing(c -> c.view.running())
                .thenComparing(c -> -zones.get(c.view.target()).get(c.view.zone()))
                .thenComparing(c -> c.view.worker());
    }

    /** Returns the steps that a move out of each pool usually takes. */
    private int[] transits() {
        int[] transits = new int[pools.size()];
        int move = settings.stepsOf(settings.moveTime());
        for (int p = 0; p < transits.length; p++) {
            int pool = p;
            int[] drains =
                    workers.stream()
                            .filter(c -> c.pool == pool && c.arrival == 0)
                            .mapToInt(c -> c.drainSteps)
                            .sorted()
                            .toArray();
            transits[p] = Math.max(1, move + (drains.length == 0 ? 0 : drains[drains.length / 2]));
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
        List<Plan.Move> moves = new ArrayList<>();
        for (Candidate worker : workers) {
            if (worker.route.startsAt(0, worker.pool)) {
                moves.add(move(worker));
            }
        }
        return new Plan(view.now(), moves, holds(moves));
    }

    private boolean improve(Candidate worker) {
        if (!pools.get(worker.pool).known) {
            return false;
        }
        Route old = worker.route;
        place(worker, old, -1);
        Route best = old;
        double bestCost = Double.NaN;
        for (double share : SHARES) {
            Route route = search.best(worker, share);
            if (Arrays.equals(route.places(), old.places())) {
                continue;
            }
            Set<Integer> touched = touched(old, route);
            double gain = costWith(worker, old, touched) - costWith(worker, route, touched);
            if (gain > EPSILON && (Double.isNaN(bestCost) || gain > bestCost)) {
                best = route;
                bestCost = gain;
            }
        }
        worker.route = best;
        place(worker, best, 1);
        return best != old;
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
}
