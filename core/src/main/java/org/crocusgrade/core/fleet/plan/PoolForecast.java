package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;

/**
 * One pool over the horizon: its demand, the workers that are planned to serve it in each step, and
 * what that costs.
 *
 * <p>Waiting is that of a fluid queue: in each step the demand comes in, the capacity serves, and
 * what is left waits on. What waits at the end of the horizon costs the time that the capacity then
 * needs for it. A step with fewer workers than the least number, or more than the greatest, costs
 * more than any waiting.
 */
final class PoolForecast {
    /** The cost of one worker below the least number or above the greatest, for one step. */
    private static final double LIMIT_COST = 1e9;

    final PoolView view;
    final double[] demand;
    final boolean known;
    final int[] leaving;
    private final double stepSeconds;
    private final double idleWeight;
    private double firstQueue;
    private final double[] capacity;
    private final int[] serving;
    private final int[] arriving;
    private final double[] queue;
    private long revision = 1;
    private int down;
    private int slots = 1;

    PoolForecast(
            PoolView view,
            double[] demand,
            boolean known,
            PlanSettings settings,
            double bufferWeight) {
        this.view = view;
        this.demand = demand;
        this.known = known;
        this.stepSeconds = settings.step().toNanos() / 1e9;
        this.idleWeight = view.capacity().spare() ? 0 : bufferWeight;
        this.capacity = new double[settings.steps()];
        this.serving = new int[settings.steps()];
        this.arriving = new int[settings.steps()];
        this.leaving = new int[settings.steps()];
        this.queue = new double[settings.steps()];
    }

    /** Counts a worker that is of this pool but no capacity over the whole horizon. */
    void addDown() {
        down++;
        for (int t = 0; t < leaving.length; t++) {
            leaving[t]++;
        }
    }

    /** Counts a worker that leaves over the first steps. */
    void addLeaving(int steps) {
        for (int t = 0; t < Math.min(steps, leaving.length); t++) {
            leaving[t]++;
        }
    }

    /**
     * Brings what waited at the digest's time forward to now, as the demand and capacity of then
     * had gone on; to be called once all workers are placed.
     */
    void startQueue(Instant now) {
        if (!known) {
            return;
        }
        DemandDigest digest = view.demand().orElseThrow();
        double age = Math.max(0, Duration.between(digest.at(), now).toNanos() / 1e9);
        double grown = (digest.offeredByAll() - capacity[0]) * age;
        firstQueue = Math.max(0, digest.queuedByAll() + grown);
    }

    /** Adds a worker's place in one step, or takes it away again. */
    void place(int t, int workerSlots, boolean serves, int sign) {
        slots = Math.max(slots, workerSlots);
        revision++;
        if (serves) {
            serving[t] += sign;
            capacity[t] += sign * workerSlots;
        } else {
            arriving[t] += sign;
        }
    }

    /** Returns a number that grows with each change of places. */
    long revision() {
        return revision;
    }

    int servingNow() {
        return serving[0];
    }

    /** Returns the workers here and on their way here. */
    int workers() {
        return serving[0] + arriving[0];
    }

    int unavailableNow() {
        return leaving[0];
    }

    double slotsNow() {
        return demand[0];
    }

    boolean atMax() {
        return workers() + down >= view.capacity().maxWorkers();
    }

    /** Returns whether a worker may leave over the steps within the availability budget. */
    boolean mayLeave(int from, int steps) {
        for (int t = from; t < Math.min(from + Math.max(1, steps), leaving.length); t++) {
            if (leaving[t] >= view.budget().maxUnavailable()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the workers that the highest demand of the horizon asks for beyond these. */
    int wanted() {
        double top = 0;
        for (double d : demand) {
            top = Math.max(top, d);
        }
        return Math.max(0, (int) Math.ceil(top / slots) - workers());
    }

    /** Returns the cost over the horizon. */
    double cost() {
        double waiting = firstQueue;
        double sum = 0;
        for (int t = 0; t < capacity.length; t++) {
            double work = waiting + demand[t] * stepSeconds;
            double done = Math.min(work, capacity[t] * stepSeconds);
            double left = work - done;
            sum += (waiting + left) / 2 * stepSeconds;
            double idle = (capacity[t] * stepSeconds - done) / slots;
            sum += (idle + arriving[t] * stepSeconds) * idleWeight;
            sum += LIMIT_COST * beyondLimits(t);
            waiting = left;
        }
        return known ? sum + waiting * drainSeconds(waiting) / 2 : sum;
    }

    private int beyondLimits(int t) {
        int all = serving[t] + arriving[t] + down;
        return Math.max(0, view.capacity().minWorkers() - serving[t])
                + Math.max(0, all - view.capacity().maxWorkers());
    }

    private double drainSeconds(double waiting) {
        int last = capacity.length - 1;
        return waiting / Math.max(slots / 2.0, capacity[last] - demand[last]);
    }

    /**
     * Fills in what one worker more would be worth in each step if it were here in that step alone.
     *
     * @param share how much of the time is counted for which served work would else have waited on:
     *     1 is right for the first slot-second added, less for a whole worker
     */
    void rewards(double[] rewards, int workerSlots, double share) {
        double waiting = firstQueue;
        for (int t = 0; t < capacity.length; t++) {
            double work = waiting + demand[t] * stepSeconds;
            waiting = Math.max(0, work - capacity[t] * stepSeconds);
            queue[t] = waiting;
        }
        double emptyIn = drainSeconds(waiting);
        for (int t = capacity.length - 1; t >= 0; t--) {
            emptyIn = queue[t] > 0 ? emptyIn + stepSeconds : 0;
            double most = workerSlots * stepSeconds;
            double used = Math.min(most, queue[t]);
            double idle = (most - used) / workerSlots;
            double limits = 0;
            if (serving[t] < view.capacity().minWorkers()) {
                limits = LIMIT_COST;
            } else if (serving[t] + arriving[t] + down >= view.capacity().maxWorkers()) {
                limits = -LIMIT_COST;
            }
            double waits = known ? used * emptyIn * share : 0;
            rewards[t] = waits - idle * idleWeight + limits;
        }
    }

    /** Returns what a worker on its way here costs in a step. */
    double transitCost() {
        return idleWeight * stepSeconds;
    }
}
