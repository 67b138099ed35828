package org.crocusgrade.core.fleet.plan;

import java.util.Arrays;
import java.util.List;

/**
 * One pool while a plan is made: its demand and capacity over the horizon, and what it would cost
 * to have one worker more or fewer.
 *
 * <p>Waiting is that of a fluid queue: in each step the demand comes in, the capacity serves, and
 * what is left waits on. Its cost falls ever more slowly with each worker more, and the cost of
 * idle workers grows ever faster, so their sum is convex in the number of workers. What waits at
 * the end of the horizon costs the time that the capacity then needs for it.
 */
final class PoolForecast {
    final PoolView view;
    final double[] demand;
    final boolean known;
    private final double stepSeconds;
    private final double idleWeight;
    private final double queue;
    private final int slots;
    private final double[] capacity;
    private final double[] plusCache;
    private double cost = Double.NaN;
    private double minusCost = Double.NaN;

    /** Workers that are capacity now. */
    int serving;

    /** Workers that are on their way here. */
    int arriving;

    /** Workers of this pool that are down, draining or leaving. */
    int unavailable;

    PoolForecast(
            PoolView view,
            List<WorkerView> workers,
            double[] demand,
            boolean known,
            PlanSettings settings,
            double bufferWeight) {
        this.view = view;
        this.demand = demand;
        this.known = known;
        this.stepSeconds = settings.step().toNanos() / 1e9;
        this.idleWeight = view.capacity().spare() ? 0 : bufferWeight;
        this.queue = known ? view.demand().orElseThrow().queuedByAll() : 0;
        this.capacity = new double[settings.steps()];
        this.plusCache = new double[settings.steps() + 1];
        Arrays.fill(plusCache, Double.NaN);
        int size = 0;
        for (WorkerView w : workers) {
            size = Math.max(size, w.slots());
            if (w.pool().equals(view.pool()) && !w.serves()) {
                unavailable++;
            }
            if (w.pool().equals(view.pool()) && w.serves()) {
                serving++;
                addCapacity(w.slots(), 0);
            } else if (w.target().equals(view.pool()) && w.arriving()) {
                arriving++;
                addCapacity(w.slots(), settings.stepsOf(w.drainTime().plus(settings.moveTime())));
            }
        }
        this.slots = Math.max(1, size);
    }

    private void addCapacity(int more, int fromStep) {
        for (int i = fromStep; i < capacity.length; i++) {
            capacity[i] += more;
        }
    }

    /** Returns the workers here and on their way here. */
    int workers() {
        return serving + arriving;
    }

    boolean belowMin() {
        return workers() < view.capacity().minWorkers();
    }

    boolean atMax() {
        return workers() + unavailable >= view.capacity().maxWorkers();
    }

    /** Returns the moves out that the least number and the availability budget still allow. */
    int mayGive() {
        int overMin = serving - view.capacity().minWorkers();
        int inBudget = view.budget().maxUnavailable() - unavailable;
        return Math.max(0, Math.min(overMin, inBudget));
    }

    /** Returns the slots that the demand asks for now. */
    double slotsNow() {
        return demand[0];
    }

    /** Returns the workers that the highest demand within the horizon asks for beyond these. */
    int wanted() {
        double top = 0;
        for (double d : demand) {
            top = Math.max(top, d);
        }
        return Math.max(0, (int) Math.ceil(top / slots) - workers());
    }

    /** Returns what the pool is spared by a worker more from the step on. */
    double saved(int more, int fromStep) {
        int step = Math.min(fromStep, capacity.length);
        if (more != slots) {
            return cost() - costWith(more, step);
        }
        if (Double.isNaN(plusCache[step])) {
            plusCache[step] = cost() - costWith(more, step);
        }
        return plusCache[step];
    }

    /** Returns what the pool bears when a worker leaves at the step. */
    double added(int fewer, int fromStep) {
        if (fromStep > 0 || fewer != slots) {
            return costWith(-fewer, Math.min(fromStep, capacity.length)) - cost();
        }
        if (Double.isNaN(minusCost)) {
            minusCost = costWith(-fewer, 0) - cost();
        }
        return minusCost;
    }

    /** Takes a worker's departure into account. */
    void give(int fewer) {
        serving--;
        unavailable++;
        addCapacity(-fewer, 0);
        forgetCosts();
    }

    /** Takes a worker's arrival into account. */
    void take(int more, int fromStep) {
        arriving++;
        addCapacity(more, fromStep);
        forgetCosts();
    }

    private void forgetCosts() {
        cost = Double.NaN;
        minusCost = Double.NaN;
        Arrays.fill(plusCache, Double.NaN);
    }

    private double cost() {
        if (Double.isNaN(cost)) {
            cost = costWith(0, 0);
        }
        return cost;
    }

    private double costWith(int change, int fromStep) {
        double waiting = queue;
        double sum = 0;
        double last = 0;
        for (int i = 0; i < capacity.length; i++) {
            double cap = Math.max(0, capacity[i] + (i >= fromStep ? change : 0));
            double work = waiting + demand[i] * stepSeconds;
            double done = Math.min(work, cap * stepSeconds);
            double left = work - done;
            sum += (waiting + left) / 2 * stepSeconds;
            sum += (cap * stepSeconds - done) / slots * idleWeight;
            waiting = left;
            last = cap;
        }
        double free = Math.max(slots / 2.0, last - demand[demand.length - 1]);
        return sum + waiting * waiting / (2 * free);
    }
}
