package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.PoolId;

/**
 * Moves workers where a move is worth more than it costs, and as late as it is worth as much.
 *
 * <p>Idea: forecast each pool's demand over a horizon ({@link DemandLearner}); sum up what each
 * pool would cost with one worker more or fewer ({@link PoolForecast}); then make the move that
 * gains most, as long as one gains anything. Each pool's cost is convex in its number of workers,
 * and the price of a move is the same for each; for such sums taking the best single step again and
 * again ends in the best allocation over the horizon, so no search is needed.
 *
 * <p>A move for an expected surge that would be worth as much a tick later is put off: the worker
 * serves its old pool longer, the new pool holds less idle, and the forecast gets better meanwhile.
 * As budgets bound how many workers may leave at once, the loss by putting off is judged for the
 * last worker that the surge will need, not for the first.
 *
 * <p>A release of an idle worker to a spare pool pays for two moves, since the worker will have to
 * be fetched again. So a deployment that weighs moves most lets workers stay where the last surge
 * was and moves them straight to the next one, and one that weighs its buffer most hands them back
 * between surges.
 *
 * <p>Hard limits come before any gain: least and greatest numbers, the availability budget with
 * workers that are down for other causes, the dwell time, and that only a worker that is up,
 * serving and not on its way may move. A pool whose demand is not known neither gives nor takes,
 * but that any pool is brought up to its least number, from a spare pool if need be.
 *
 * <p>Slow where: each move that is made evaluates every pair of pools, but the cost of a pool is
 * summed again only after it gave or took.
 */
public final class DefaultPlanner implements Planner {
    /** Gains below this are rounding. */
    private static final double EPSILON = 1e-6;

    private final PlanSettings settings;
    private final DemandLearner learner;

    /** Makes a planner that has learned nothing yet. */
    public DefaultPlanner(PlanSettings settings) {
        this.settings = Objects.requireNonNull(settings);
        this.learner = new DemandLearner(settings);
    }

    @Override
    public Plan plan(FleetView view) {
        learner.observe(view);
        return new Round(view).plan();
    }

    /** One plan in the making. */
    private final class Round {
        private final FleetView view;
        private final Donors donors;
        private final Map<PoolId, PoolForecast> pools = new TreeMap<>();
        private final Map<PoolId, DemandLearner.Start> starts;
        private final List<Plan.Move> moves = new ArrayList<>();
        private final Map<PoolId, PlanReason> held = new HashMap<>();
        private final Set<PoolId> deferred = new HashSet<>();

        Round(FleetView view) {
            this.view = view;
            this.donors = new Donors(view, settings);
            this.starts = learner.starts(view.now());
            for (PoolView p : view.pools()) {
                DemandLearner.Start next = starts.get(p.pool());
                double[] demand = learner.forecast(p.pool(), view.now(), next);
                double idle = view.weights().bufferWeight();
                pools.put(
                        p.pool(),
                        new PoolForecast(p, view.workers(), demand, known(p), settings, idle));
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

        Plan plan() {
            for (PoolForecast to : pools.values()) {
                fill(to);
            }
            Candidate best = best();
            while (best != null) {
                if (betterLater(best)) {
                    deferred.add(best.to.view.pool());
                    held.put(best.to.view.pool(), PlanReason.NOT_YET);
                } else {
                    make(best);
                }
                best = best();
            }
            return new Plan(view.now(), moves, holds());
        }

        /** Brings a pool up to its least number, whatever it costs the others. */
        private void fill(PoolForecast to) {
            while (to.belowMin() && !to.atMax()) {
                Candidate best = null;
                for (PoolForecast from : pools.values()) {
                    if (!from.known && !from.view.capacity().spare()) {
                        continue;
                    }
                    Candidate next = candidate(from, to, PlanReason.BELOW_MIN);
                    best = next != null && next.before(best) ? next : best;
                }
                if (best == null) {
                    held.put(to.view.pool(), PlanReason.NO_DONOR);
                    return;
                }
                make(best);
            }
        }

        private Candidate best() {
            Candidate best = null;
            for (PoolForecast to : pools.values()) {
                if (!to.known || to.atMax() || deferred.contains(to.view.pool())) {
                    continue;
                }
                for (PoolForecast from : pools.values()) {
                    if (!from.known) {
                        continue;
                    }
                    Candidate next = candidate(from, to, reason(to));
                    if (next != null && next.gain() > EPSILON && next.before(best)) {
                        best = next;
                    }
                }
            }
            return best;
        }

        private PlanReason reason(PoolForecast to) {
            if (to.wanted() == 0 && to.view.capacity().spare()) {
                return PlanReason.RELEASE;
            }
            return learner.surging(to.view.pool()) || !starts.containsKey(to.view.pool())
                    ? PlanReason.SURGE
                    : PlanReason.SURGE_EXPECTED;
        }

        private Candidate candidate(PoolForecast from, PoolForecast to, PlanReason reason) {
            if (from == to || from.mayGive() == 0) {
                return null;
            }
            WorkerView worker = donors.next(from.view.pool());
            if (worker == null) {
                return null;
            }
            int arrival = settings.stepsOf(worker.drainTime().plus(settings.moveTime()));
            double moves = reason == PlanReason.RELEASE ? 2 : 1;
            Plan.Inputs inputs =
                    new Plan.Inputs(
                            from.serving,
                            to.workers(),
                            from.slotsNow(),
                            to.slotsNow(),
                            worker.drainTime(),
                            to.saved(worker.slots(), arrival),
                            from.added(worker.slots(), 0),
                            moves * view.weights().moveWeight());
            return new Candidate(worker, from, to, arrival, reason, inputs);
        }

        /** Returns whether the move loses nothing when it is made a tick later. */
        private boolean betterLater(Candidate c) {
            if (c.reason != PlanReason.SURGE_EXPECTED) {
                return false;
            }
            int slots = c.worker.slots();
            int round = Math.max(settings.stepsOf(settings.tick()), c.arrival);
            int wait = Math.max(0, rounds(c.to) - 1) * round;
            int tick = settings.stepsOf(settings.tick());
            double lost =
                    c.to.saved(slots, c.arrival + wait)
                            - c.to.saved(slots, c.arrival + wait + tick);
            double spared = c.from.added(slots, 0) - c.from.added(slots, tick);
            return lost - spared <= EPSILON;
        }

        /**
         * Returns how many times the budgets let workers leave until the pool has what it wants.
         */
        private int rounds(PoolForecast to) {
            int perRound = 0;
            for (PoolForecast from : pools.values()) {
                if (from != to && from.known) {
                    perRound += from.mayGive();
                }
            }
            return perRound == 0 ? 1 : (to.wanted() + perRound - 1) / perRound;
        }

        private void make(Candidate c) {
            donors.taken(c.worker);
            c.from.give(c.worker.slots());
            c.to.take(c.worker.slots(), c.arrival);
            moves.add(
                    new Plan.Move(
                            c.worker.worker(),
                            c.from.view.pool(),
                            c.to.view.pool(),
                            c.reason,
                            c.inputs));
        }

        private List<Plan.Hold> holds() {
            Set<PoolId> taking = new HashSet<>();
            moves.forEach(m -> taking.add(m.to()));
            List<Plan.Hold> holds = new ArrayList<>();
            for (PoolForecast p : pools.values()) {
                if (!taking.contains(p.view.pool())) {
                    holds.add(
                            new Plan.Hold(p.view.pool(), holdReason(p), p.workers(), p.slotsNow()));
                }
            }
            return holds;
        }

        private PlanReason holdReason(PoolForecast pool) {
            if (!pool.known) {
                return PlanReason.DEMAND_UNKNOWN;
            }
            PlanReason reason = held.get(pool.view.pool());
            if (reason != null) {
                return reason;
            }
            if (pool.wanted() > 0 && pool.atMax()) {
                return PlanReason.AT_MAX;
            }
            if (pool.wanted() > 0 && rounds(pool) == 1 && !anyDonor(pool)) {
                return PlanReason.NO_DONOR;
            }
            return PlanReason.BALANCED;
        }

        private boolean anyDonor(PoolForecast to) {
            for (PoolForecast from : pools.values()) {
                if (from.known && candidate(from, to, PlanReason.SURGE) != null) {
                    return true;
                }
            }
            return false;
        }
    }

    /** A move that could be made. */
    private record Candidate(
            WorkerView worker,
            PoolForecast from,
            PoolForecast to,
            int arrival,
            PlanReason reason,
            Plan.Inputs inputs) {
        double gain() {
            return inputs.gain();
        }

        /** Returns whether it is to be made before the other; a spare pool lends first. */
        boolean before(Candidate other) {
            if (other == null || gain() > other.gain() + EPSILON) {
                return true;
            }
            if (gain() < other.gain() - EPSILON) {
                return false;
            }
            if (from.view.capacity().spare() != other.from.view.capacity().spare()) {
                return from.view.capacity().spare();
            }
            return from.mayGive() > other.from.mayGive();
        }
    }
}
