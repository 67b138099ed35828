package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.List;

/**
 * Finds the best route of one worker over the horizon while all others keep theirs.
 *
 * <p>Idea: what a worker is worth to a pool in a step is known from the pool's forecast queue
 * ({@link PoolForecast#rewards}), so the best route is a longest path over (step, pool): stay and
 * earn the step's reward, or pay for a move, be out of service for its time, and go on in another
 * pool. It is found backwards in time. To find the best pool to go to, only the two best arrivals
 * of each step are needed, the second one for the pool that is itself the best.
 *
 * <p>The reward is right for a little capacity and off for a whole worker, so the routes for
 * several readings of it are found and the caller weighs each by its exact cost.
 *
 * <p>Worked case: pools a and b, a move takes 1 step and costs 3; rewards of a are 5 5 0 0 and of b
 * 0 0 0 9. From the end: b earns 9 in the last step, so to leave a before step 2 earns 9 - 3 = 6,
 * and so does leaving at step 1, but that forgoes the 5 of a. The route is a a (move) b.
 */
final class RouteSearch {
    /** A move that is not allowed. */
    private static final double NEVER = -1e18;

    private final PlanSettings settings;
    private final List<PoolForecast> pools;
    private final int[] transits;
    private final double moveWeight;
    private final int steps;
    private final int tickSteps;
    private final int dwellSteps;
    private final double[][] rewards;
    private final double[][] sums;
    private final long[] seen;
    private final int[] seenSlots;
    private final double[][] values;
    private final double[][] arrivals;
    private final int[] first;
    private final int[] second;
    private final double share;
    private Known known;

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
        this.sums = new double[pools.size()][steps + 1];
        this.seen = new long[pools.size()];
        this.seenSlots = new int[pools.size()];
        this.values = new double[pools.size()][steps + 1];
        this.arrivals = new double[pools.size()][steps + 1];
        this.first = new int[steps + 1];
        this.second = new int[steps + 1];
    }

    /**
     * Returns the best route of a worker that is taken out of the forecasts.
     *
     * @param version names the state of the forecasts before the worker was taken out
     */
    Route best(Candidate worker, long version) {
        boolean stays = worker.arrival == 0 && worker.route.moves(worker.pool) == 0;
        Known key = new Known(version, worker.pool, worker.view.slots());
        if (!stays || !key.equals(known)) {
            known = stays ? key : null;
            search(worker);
        }
        return walk(worker);
    }

    private void search(Candidate worker) {
        for (int p = 0; p < pools.size(); p++) {
            fillRewards(p, worker.view.slots());
        }
        for (int t = steps; t >= 0; t--) {
            for (int p = 0; p < pools.size(); p++) {
                values[p][t] = value(p, t);
                arrivals[p][t] = arrival(p, t);
            }
            rank(t);
        }
    }

    private void fillRewards(int p, int slots) {
        PoolForecast pool = pools.get(p);
        if (seen[p] == pool.revision() && seenSlots[p] == slots) {
            return;
        }
        pool.rewards(rewards[p], slots, share);
        for (int t = 0; t < steps; t++) {
            sums[p][t + 1] = sums[p][t] + rewards[p][t];
        }
        seen[p] = pool.revision();
        seenSlots[p] = slots;
    }

    private double value(int pool, int t) {
        if (t == steps) {
            return 0;
        }
        double stay = rewards[pool][t] + values[pool][t + 1];
        return Math.max(stay, leave(pool, t, transits[pool]));
    }

    /** Returns the value of leaving a pool at the step for the best other one. */
    private double leave(int pool, int t, int transit) {
        if (!mayLeave(pool, t, transit)) {
            return NEVER;
        }
        int to = bestOther(pool, t + transit);
        return to < 0 ? NEVER : arrivals[to][t + transit] - moveWeight;
    }

    private boolean mayLeave(int pool, int t, int transit) {
        return t % tickSteps == 0
                && t + transit < steps
                && pools.get(pool).known
                && pools.get(pool).mayLeave(t, transit);
    }

    /** Returns the value of coming to a pool at the step and staying for the dwell time. */
    private double arrival(int pool, int t) {
        int until = Math.min(steps, t + Math.max(0, dwellSteps - transits[pool]));
        double transit = transits[pool] * pools.get(pool).transitCost();
        return sums[pool][until] - sums[pool][t] + values[pool][until] - transit;
    }

    private void rank(int t) {
        first[t] = -1;
        second[t] = -1;
        for (int p = 0; p < pools.size(); p++) {
            boolean mayCome = pools.get(p).known || arrivals[p][t] > -NEVER / 1e10;
            if (!mayCome) {
                continue;
            }
            if (first[t] < 0 || arrivals[p][t] > arrivals[first[t]][t]) {
                second[t] = first[t];
                first[t] = p;
            } else if (second[t] < 0 || arrivals[p][t] > arrivals[second[t]][t]) {
                second[t] = p;
            }
        }
    }

    private int bestOther(int pool, int t) {
        return first[t] == pool ? second[t] : first[t];
    }

    private Route walk(Candidate worker) {
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
            double leave = t < mayMove ? NEVER : leave(pool, t, transit);
            if (leave <= rewards[pool][t] + values[pool][t + 1] + 1e-9) {
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

    /** Returns the steps that a move of the worker takes when it starts at the step. */
    int transit(Candidate worker, int t) {
        Duration drain = worker.view.drainTime().minus(settings.step().multipliedBy(t));
        Duration left = drain.isNegative() ? Duration.ZERO : drain;
        int now = Math.max(1, settings.stepsOf(left.plus(settings.moveTime())));
        int whole = settings.stepsOf(worker.view.drainTime().plus(settings.moveTime()));
        return Math.max(now, Math.min(transits[worker.pool], whole));
    }

    /**
     * What the values hold for: all workers of a pool that stay leave the same forecasts when one
     * of them is taken out.
     */
    private record Known(long version, int pool, int slots) {}
}
