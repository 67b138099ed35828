package org.crocusgrade.bench.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Exact search for the plan of least cost on a small trace, all of whose demand is known in
 * advance. The rules are those of {@link TraceSimulator}, except that workers are interchangeable
 * and a move takes its worker out of service for exactly one step.
 *
 * <p>Idea: dynamic programming over the steps of the trace. For each placement of the workers
 * (numbers of serving, arriving and leaving workers by pool) it keeps the outcomes that can still
 * lead to the optimum. An outcome is the cost so far and the queued work of each pool. An outcome
 * is dropped if another one with the same placement dominates it, that is, costs no more and has no
 * more work queued in any pool: the same future decisions then cost at least as much from the
 * dropped one. It is also dropped if it costs more than a plan that is already known.
 *
 * <p>Why it is right: the future cost of an outcome depends only on the placement and the queued
 * work, and never falls when more work is queued, so at least one optimal plan is kept. The dwell
 * time is ignored, so the result may be too low but never too high: it is a lower bound for any
 * planner.
 *
 * <p>The search is slow where many outcomes of one placement are incomparable: with more than three
 * pools or six workers.
 */
public final class OptimalPlanSearch {
    private final Deployment fleet;
    private final DemandTrace trace;
    private final int poolCount;
    private final double stepSeconds;

    /** Creates a search for a trace whose entries follow the order of the fleet's pools. */
    public OptimalPlanSearch(Deployment fleet, DemandTrace trace) {
        this.fleet = fleet;
        this.trace = trace;
        this.poolCount = fleet.pools().size();
        this.stepSeconds = trace.step().toNanos() / 1e9;
    }

    /**
     * Returns the score of a plan of least cost for the steps from the given one to the end.
     *
     * @param start the placement of the workers and the queued work before that step
     * @param incumbent the score of a known plan, which bounds the search and is returned if no
     *     plan is better
     */
    public Score best(int from, State start, Score incumbent) {
        Map<Placement, List<Outcome>> current = new HashMap<>();
        Placement placement = new Placement(start.serving, start.arriving, start.leaving);
        current.put(placement, List.of(outcome(Score.ZERO, start.queues)));
        double bound = incumbent.cost(fleet.weights());
        for (int t = from; t < trace.slots().size(); t++) {
            Map<Placement, List<Outcome>> next = new HashMap<>();
            for (Map.Entry<Placement, List<Outcome>> entry : current.entrySet()) {
                advance(entry.getKey(), entry.getValue(), trace.slots().get(t), bound, next);
            }
            current = next;
        }
        Score best = incumbent;
        for (List<Outcome> outcomes : current.values()) {
            for (Outcome o : outcomes) {
                best = o.cost < best.cost(fleet.weights()) ? o.score : best;
            }
        }
        return best;
    }

    private void advance(
            Placement placement,
            List<Outcome> outcomes,
            double[] slots,
            double bound,
            Map<Placement, List<Outcome>> next) {
        for (int[] change : feasibleChanges(placement)) {
            int[] serving = placement.serving.clone();
            int[] arriving = new int[poolCount];
            int[] leaving = new int[poolCount];
            int moves = 0;
            for (int p = 0; p < poolCount; p++) {
                leaving[p] = Math.max(0, -change[p]);
                arriving[p] = Math.max(0, change[p]);
                serving[p] += placement.arriving[p] - leaving[p];
                moves += arriving[p];
            }
            Placement nextPlacement = new Placement(serving, arriving, leaving);
            List<Outcome> undominated = next.computeIfAbsent(nextPlacement, s -> new ArrayList<>());
            for (Outcome o : outcomes) {
                Outcome after = step(o, nextPlacement, moves, slots);
                if (after.cost <= bound) {
                    addUnlessDominated(undominated, after);
                }
            }
        }
    }

    private Outcome outcome(Score score, double[] queues) {
        return new Outcome(score.cost(fleet.weights()), score, queues);
    }

    private Outcome step(Outcome o, Placement placement, int moves, double[] slots) {
        double buffer = 0;
        double spare = 0;
        double waited = 0;
        double work = 0;
        double[] queues = new double[poolCount];
        for (int p = 0; p < poolCount; p++) {
            double capacity = placement.serving[p] * (double) Deployment.SLOTS_PER_WORKER;
            double done = FluidQueue.served(o.queues[p], slots[p], capacity, stepSeconds);
            queues[p] = o.queues[p] + slots[p] * stepSeconds - done;
            waited += FluidQueue.waited(o.queues[p], queues[p], stepSeconds);
            work += slots[p] * stepSeconds;
            double idle = (capacity * stepSeconds - done) / Deployment.SLOTS_PER_WORKER;
            double held = idle + placement.arriving[p] * stepSeconds;
            if (fleet.pools().get(p).capacity().spare()) {
                spare += held;
            } else {
                buffer += held;
            }
        }
        return outcome(o.score.plus(new Score(moves, buffer, spare, waited, work)), queues);
    }

    private static void addUnlessDominated(List<Outcome> undominated, Outcome added) {
        for (Outcome o : undominated) {
            if (o.dominates(added)) {
                return;
            }
        }
        undominated.removeIf(added::dominates);
        undominated.add(added);
    }

    /**
     * Returns every net change of the pools' sizes, with a sum of 0, that minimum and maximum sizes
     * and budgets allow.
     */
    private List<int[]> feasibleChanges(Placement placement) {
        List<int[]> all = new ArrayList<>();
        extendChange(placement, new int[poolCount], 0, 0, all);
        return all;
    }

    private void extendChange(
            Placement placement, int[] change, int pool, int sum, List<int[]> all) {
        if (pool == poolCount) {
            if (sum == 0) {
                all.add(change.clone());
            }
            return;
        }
        Deployment.Pool p = fleet.pools().get(pool);
        int overMin = placement.serving[pool] - p.capacity().minWorkers();
        int inBudget = p.budget().maxUnavailable() - placement.leaving[pool];
        int maxOut = Math.max(0, Math.min(overMin, inBudget));
        int assigned = placement.serving[pool] + placement.arriving[pool];
        int maxIn = Math.max(0, p.capacity().maxWorkers() - assigned);
        for (int c = -maxOut; c <= maxIn; c++) {
            change[pool] = c;
            extendChange(placement, change, pool + 1, sum + c, all);
        }
        change[pool] = 0;
    }

    /**
     * Initial state of a search.
     *
     * @param serving the workers that serve, by pool
     * @param arriving the workers that serve from the first step on, by pool
     * @param leaving the workers that count against the budget in the first step, by pool
     * @param queues the queued slot-seconds, by pool
     */
    public record State(int[] serving, int[] arriving, int[] leaving, double[] queues) {}

    /** Numbers of serving, arriving and leaving workers by pool. */
    private record Placement(int[] serving, int[] arriving, int[] leaving) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Placement s
                    && Arrays.equals(serving, s.serving)
                    && Arrays.equals(arriving, s.arriving)
                    && Arrays.equals(leaving, s.leaving);
        }

        @Override
        public int hashCode() {
            return Objects.hash(
                    Arrays.hashCode(serving), Arrays.hashCode(arriving), Arrays.hashCode(leaving));
        }
    }

    /** The score and cost so far, and the queued slot-seconds by pool. */
    private record Outcome(double cost, Score score, double[] queues) {
        /** Returns whether this costs no more and has no more work queued in any pool. */
        boolean dominates(Outcome other) {
            if (cost > other.cost) {
                return false;
            }
            for (int p = 0; p < queues.length; p++) {
                if (queues[p] > other.queues[p]) {
                    return false;
                }
            }
            return true;
        }
    }
}
