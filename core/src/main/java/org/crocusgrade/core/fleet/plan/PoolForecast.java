package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;

/**
 * The forecast of one pool over the horizon: its demand, the workers that are planned to serve it
 * in each step, and the resulting cost.
 *
 * <p>Waiting is modelled as a fluid queue: in each step the demand is added to the queue, the
 * capacity serves from it, and the rest remains queued. Work that is queued at the end of the
 * horizon costs the waiting until the capacity of the last step would have cleared it. A step with
 * fewer workers than the pool's minimum, or more than its maximum, costs more than any waiting.
 */
final class PoolForecast {
    /** The cost of one worker below the minimum or above the maximum, for one step. */
    private static final double LIMIT_VIOLATION_COST = 1e9;

    final PoolView view;
    final double[] demand;
    final boolean demandKnown;
    final int[] leaving;
    private final double stepSeconds;
    private final double idleWeight;
    private double initialQueue;
    private final double[] capacity;
    private final int[] serving;
    private final int[] arriving;
    private final double[] queue;
    private long revision = 1;
    private int downWorkers;
    private int slotsPerWorker = 1;

    PoolForecast(
            PoolView view,
            double[] demand,
            boolean demandKnown,
            PlanSettings settings,
            double bufferWeight) {
        this.view = view;
        this.demand = demand;
        this.demandKnown = demandKnown;
        this.stepSeconds = settings.step().toNanos() / 1e9;
        this.idleWeight = view.capacity().spare() ? 0 : bufferWeight;
        this.capacity = new double[settings.steps()];
        this.serving = new int[settings.steps()];
        this.arriving = new int[settings.steps()];
        this.leaving = new int[settings.steps()];
        this.queue = new double[settings.steps()];
    }

    /** Counts a worker that belongs to this pool but is unavailable over the whole horizon. */
    void addDownWorker() {
        downWorkers++;
        for (int t = 0; t < leaving.length; t++) {
            leaving[t]++;
        }
    }

    /** Counts a worker that is leaving the pool during the first steps. */
    void addLeavingWorker(int steps) {
        for (int t = 0; t < Math.min(steps, leaving.length); t++) {
            leaving[t]++;
        }
    }

    /**
     * Extrapolates the queue from the digest's time to now, with the demand of the digest and the
     * capacity of the first step. To be called after all workers have been added.
     */
    void initializeQueue(Instant now) {
        if (!demandKnown) {
            return;
        }
        DemandDigest digest = view.demand().orElseThrow();
        double age = Math.max(0, Duration.between(digest.at(), now).toNanos() / 1e9);
        double grown = (digest.offeredByAll() - capacity[0]) * age;
        initialQueue = Math.max(0, digest.queuedByAll() + grown);
    }

    /**
     * Adds a worker that serves this pool or is moving to it in one step ({@code sign} 1), or
     * removes it (-1).
     */
    void addWorker(int t, int workerSlots, boolean serves, int sign) {
        slotsPerWorker = Math.max(slotsPerWorker, workerSlots);
        revision++;
        if (serves) {
            serving[t] += sign;
            capacity[t] += sign * workerSlots;
        } else {
            arriving[t] += sign;
        }
    }

    /** Returns a number that increases with each change of the planned workers. */
    long revision() {
        return revision;
    }

    int servingNow() {
        return serving[0];
    }

    /** Returns the workers that serve this pool in the first step or are moving to it. */
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
        return workers() + downWorkers >= view.capacity().maxWorkers();
    }

    /**
     * Returns whether one more worker may be leaving during the steps within the availability
     * budget.
     */
    boolean mayLeave(int from, int steps) {
        for (int t = from; t < Math.min(from + Math.max(1, steps), leaving.length); t++) {
            if (leaving[t] >= view.budget().maxUnavailable()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of workers needed for the peak demand of the horizon beyond those of
     * {@link #workers}.
     */
    int missingWorkers() {
        double top = 0;
        for (double d : demand) {
            top = Math.max(top, d);
        }
        return Math.max(0, (int) Math.ceil(top / slotsPerWorker) - workers());
    }

    /** Returns the cost over the horizon: waiting, idle workers and violated limits. */
    double cost() {
        double waiting = initialQueue;
        double sum = 0;
        for (int t = 0; t < capacity.length; t++) {
            double work = waiting + demand[t] * stepSeconds;
            double done = Math.min(work, capacity[t] * stepSeconds);
            double left = work - done;
            sum += (waiting + left) / 2 * stepSeconds;
            double idle = (capacity[t] * stepSeconds - done) / slotsPerWorker;
            sum += (idle + arriving[t] * stepSeconds) * idleWeight;
            sum += LIMIT_VIOLATION_COST * workersBeyondLimits(t);
            waiting = left;
        }
        return demandKnown ? sum + waiting * secondsToClear(waiting) / 2 : sum;
    }

    private int workersBeyondLimits(int t) {
        int all = serving[t] + arriving[t] + downWorkers;
        return Math.max(0, view.capacity().minWorkers() - serving[t])
                + Math.max(0, all - view.capacity().maxWorkers());
    }

    private double secondsToClear(double waiting) {
        int last = capacity.length - 1;
        return waiting / Math.max(slotsPerWorker / 2.0, capacity[last] - demand[last]);
    }

    /**
     * Computes for each step the gain of one additional worker that serves this pool in that step
     * alone.
     *
     * @param share the fraction of the saved waiting time that is counted: 1 is exact for the first
     *     slot-second of additional capacity; for a whole worker the exact value is lower
     */
    void rewards(double[] rewards, int workerSlots, double share) {
        double waiting = initialQueue;
        for (int t = 0; t < capacity.length; t++) {
            double work = waiting + demand[t] * stepSeconds;
            waiting = Math.max(0, work - capacity[t] * stepSeconds);
            queue[t] = waiting;
        }
        double secondsUntilEmpty = secondsToClear(waiting);
        for (int t = capacity.length - 1; t >= 0; t--) {
            secondsUntilEmpty = queue[t] > 0 ? secondsUntilEmpty + stepSeconds : 0;
            double most = workerSlots * stepSeconds;
            double used = Math.min(most, queue[t]);
            double idle = (most - used) / workerSlots;
            double limitReward = 0;
            if (serving[t] < view.capacity().minWorkers()) {
                limitReward = LIMIT_VIOLATION_COST;
            } else if (serving[t] + arriving[t] + downWorkers >= view.capacity().maxWorkers()) {
                limitReward = -LIMIT_VIOLATION_COST;
            }
            double waitSaved = demandKnown ? used * secondsUntilEmpty * share : 0;
            rewards[t] = waitSaved - idle * idleWeight + limitReward;
        }
    }

    /** Returns the cost of a worker that is moving to this pool, for one step. */
    double transitCost() {
        return idleWeight * stepSeconds;
    }
}
