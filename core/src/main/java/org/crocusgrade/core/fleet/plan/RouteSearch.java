package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.List;

/**
 * Finds the best route of one worker over the horizon while all others keep theirs.
 *
 * <p>Idea: the gain of a worker for a pool in a step follows from the pool's forecast queue ({@link
 * PoolForecast#rewards}), so the best route is a longest path over (step, pool): stay and earn the
 * step's reward, or pay for a move, be out of service while it lasts, and continue in another pool.
 * It is found by dynamic programming backwards in time. To find the best destination of a move,
 * only the two best pools to arrive in at each step are needed, the second one for workers of the
 * best pool itself.
 *
 * <p>The reward is exact for a small amount of capacity but not for a whole worker. Therefore
 * routes are searched with several shares of it, and the caller compares them by their exact cost.
 *
 * <p>Worked case: pools a and b, a move takes 1 step and costs 3; the rewards of a are 5 5 0 0 and
 * those of b 0 0 0 9. From the end: b earns 9 in the last step, so leaving a at step 2 earns 9 - 3
 * = 6; leaving at step 1 earns 6 too, but loses the 5 of a in that step. The route is a a (move) b.
 */
final class RouteSearch {
    /** The value of a move that is not allowed. */
    private static final double FORBIDDEN = -1e18;

    private final PlanSettings settings;
    private final List<PoolForecast> pools;
    private final int[] transits;
    private final double moveWeight;
    private final int steps;
    private final int tickSteps;
    private final int dwellSteps;
    private final double[][] rewards;
    private final double[][] rewardSums;
    private final long[] rewardRevisions;
    private final int[] rewardSlots;
    private final double[][] values;
    private final double[][] arrivals;
    private final int[] bestTarget;
    private final int[] secondTarget;
    private final double share;
    private ValuesKey valuesKey;

    RouteSearch(
            PlanSettings settings,
            List<PoolForecast> pools,
            int[] transits,
            double moveWeight,
            double share) {
        this.share = share;
        this.settings = settings;
        this.pools = pools;
        this.transits = transits;
        this.moveWeight = moveWeight;
        this.steps = settings.steps();
        this.tickSteps = Math.max(1, settings.stepsOf(settings.tick()));
        this.dwellSteps = settings.stepsOf(settings.dwell());
        this.rewards = new double[pools.size()][steps];
        this.rewardSums = new double[pools.size()][steps + 1];
        this.rewardRevisions = new long[pools.size()];
        this.rewardSlots = new int[pools.size()];
        this.values = new double[pools.size()][steps + 1];
        this.arrivals = new double[pools.size()][steps + 1];
        this.bestTarget = new int[steps + 1];
        this.secondTarget = new int[steps + 1];
    }

    /**
     * Returns the best route of a worker, which must have been removed from the forecasts.
     *
     * @param version identifies the state of the forecasts before the worker was removed
     */
    Route best(PlannedWorker worker, long version) {
        boolean stays = worker.arrival == 0 && worker.route.moves(worker.pool) == 0;
        ValuesKey key = new ValuesKey(version, worker.pool, worker.view.slots());
        if (!stays || !key.equals(valuesKey)) {
            valuesKey = stays ? key : null;
            search(worker);
        }
        return traceRoute(worker);
    }

    private void search(PlannedWorker worker) {
        for (int p = 0; p < pools.size(); p++) {
            fillRewards(p, worker.view.slots());
        }
        for (int t = steps; t >= 0; t--) {
            for (int p = 0; p < pools.size(); p++) {
                values[p][t] = stayOrLeaveValue(p, t);
                arrivals[p][t] = arrivalValue(p, t);
            }
            rankArrivals(t);
        }
    }

    private void fillRewards(int p, int slots) {
        PoolForecast pool = pools.get(p);
        if (rewardRevisions[p] == pool.revision() && rewardSlots[p] == slots) {
            return;
        }
        pool.rewards(rewards[p], slots, share);
        for (int t = 0; t < steps; t++) {
            rewardSums[p][t + 1] = rewardSums[p][t] + rewards[p][t];
        }
        rewardRevisions[p] = pool.revision();
        rewardSlots[p] = slots;
    }

    /** Returns the value of being in a pool from the step on. */
    private double stayOrLeaveValue(int pool, int t) {
        if (t == steps) {
            return 0;
        }
        double stay = rewards[pool][t] + values[pool][t + 1];
        return Math.max(stay, leaveValue(pool, t, transits[pool]));
    }

    /** Returns the value of leaving a pool at the step for the best other pool. */
    private double leaveValue(int pool, int t, int transit) {
        if (!mayLeave(pool, t, transit)) {
            return FORBIDDEN;
        }
        int to = bestOther(pool, t + transit);
        return to < 0 ? FORBIDDEN : arrivals[to][t + transit] - moveWeight;
    }

    private boolean mayLeave(int pool, int t, int transit) {
        return t % tickSteps == 0
                && t + transit < steps
                && pools.get(pool).demandKnown
                && pools.get(pool).mayLeave(t, transit);
    }

    /**
     * Returns the value of arriving in a pool at the step and staying until the dwell time, which
     * counts from the start of the move, has passed.
     */
    private double arrivalValue(int pool, int t) {
        int until = Math.min(steps, t + Math.max(0, dwellSteps - transits[pool]));
        double transit = transits[pool] * pools.get(pool).transitCost();
        return rewardSums[pool][until] - rewardSums[pool][t] + values[pool][until] - transit;
    }

    /** Finds the two best pools to arrive in at the step. */
    private void rankArrivals(int t) {
        bestTarget[t] = -1;
        secondTarget[t] = -1;
        for (int p = 0; p < pools.size(); p++) {
            boolean mayCome = pools.get(p).demandKnown || arrivals[p][t] > -FORBIDDEN / 1e10;
            if (!mayCome) {
                continue;
            }
            if (bestTarget[t] < 0 || arrivals[p][t] > arrivals[bestTarget[t]][t]) {
                secondTarget[t] = bestTarget[t];
                bestTarget[t] = p;
            } else if (secondTarget[t] < 0 || arrivals[p][t] > arrivals[secondTarget[t]][t]) {
                secondTarget[t] = p;
            }
        }
    }

    private int bestOther(int pool, int t) {
        return bestTarget[t] == pool ? secondTarget[t] : bestTarget[t];
    }

    /** Builds the worker's route forwards from the values of the search. */
    private Route traceRoute(PlannedWorker worker) {
        int[] places = new int[steps];
        int pool = worker.pool;
        int mayMove = Math.max(worker.firstMove, worker.arrival);
        boolean moved = false;
        int t = 0;
        while (t < steps) {
            if (t < worker.arrival) {
                places[t++] = ~pool;
                continue;
            }
            int transit = moved ? transits[pool] : transit(worker, t);
            double leaving = t < mayMove ? FORBIDDEN : leaveValue(pool, t, transit);
            if (leaving <= rewards[pool][t] + values[pool][t + 1] + 1e-9) {
                places[t++] = pool;
                continue;
            }
            int to = bestOther(pool, t + transit);
            mayMove = t + Math.max(dwellSteps, transit);
            for (int end = t + transit; t < end; t++) {
                places[t] = ~to;
            }
            pool = to;
            moved = true;
        }
        return new Route(places);
    }

    /** Returns the number of steps that a move of the worker takes if it starts at the step. */
    int transit(PlannedWorker worker, int t) {
        Duration drain = worker.view.drainTime().minus(settings.step().multipliedBy(t));
        Duration left = drain.isNegative() ? Duration.ZERO : drain;
        int transitNow = Math.max(1, settings.stepsOf(left.plus(settings.moveTime())));
        int fullTransit = settings.stepsOf(worker.view.drainTime().plus(settings.moveTime()));
        return Math.max(transitNow, Math.min(transits[worker.pool], fullTransit));
    }

    /**
     * Identifies the search whose values are cached: removing any one of the workers of the same
     * size that stay in a pool gives the same forecasts, so they share one search.
     */
    private record ValuesKey(long version, int pool, int slots) {}
}
