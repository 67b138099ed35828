package org.crocusgrade.bench.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The best plan for a small trace that is known in whole: an exact search over the same rules that
 * {@link TraceDriver} plays by, with alike workers and one step out of service for each move.
 *
 * <p>Idea: go through the trace step by step and keep, for each way in which the workers can stand
 * (serving, arriving and leaving by pool), the outcomes that may still lead to the best end. An
 * outcome is the cost so far and what waits in each pool. One that costs no less and has no less
 * waiting in any pool than another with the same stand is dropped: whatever is done from here on
 * costs it at least as much. So is one that costs more than a plan already known.
 *
 * <p>Why it is right: the future of an outcome depends only on the stand and on what waits, and its
 * cost only grows with what waits, so dropping keeps at least one best plan. The dwell time is left
 * out, so the result can only be too low, never too high, a bound for any planner.
 *
 * <p>Slow where many outcomes of one stand cannot be compared: more than three pools or six
 * workers.
 */
public final class Hindsight {
    private final Deployment fleet;
    private final DemandTrace trace;
    private final int count;
    private final double seconds;

    /** Makes a search for one trace. */
    public Hindsight(Deployment fleet, DemandTrace trace) {
        this.fleet = fleet;
        this.trace = trace;
        this.count = fleet.pools().size();
        this.seconds = trace.step().toNanos() / 1e9;
    }

    /**
     * Returns the score of a plan of least cost for the steps from the given one to the end.
     *
     * @param start where the workers stand and what waits
     * @param known the score of some plan
     */
    public Score best(int from, Start start, Score known) {
        Map<Stand, List<Outcome>> now = new HashMap<>();
        Stand stand = new Stand(start.serving, start.arriving, start.leaving);
        now.put(stand, List.of(outcome(Score.ZERO, start.queues)));
        double bound = known.cost(fleet.weights());
        for (int t = from; t < trace.slots().size(); t++) {
            Map<Stand, List<Outcome>> next = new HashMap<>();
            for (Map.Entry<Stand, List<Outcome>> e : now.entrySet()) {
                advance(e.getKey(), e.getValue(), trace.slots().get(t), bound, next);
            }
            now = next;
        }
        Score best = known;
        for (List<Outcome> outcomes : now.values()) {
            for (Outcome o : outcomes) {
                best = o.cost < best.cost(fleet.weights()) ? o.score : best;
            }
        }
        return best;
    }

    private void advance(
            Stand stand,
            List<Outcome> outcomes,
            double[] slots,
            double bound,
            Map<Stand, List<Outcome>> next) {
        for (int[] change : changes(stand)) {
            int[] serving = stand.serving.clone();
            int[] arriving = new int[count];
            int[] leaving = new int[count];
            int moves = 0;
            for (int p = 0; p < count; p++) {
                leaving[p] = Math.max(0, -change[p]);
                arriving[p] = Math.max(0, change[p]);
                serving[p] += stand.arriving[p] - leaving[p];
                moves += arriving[p];
            }
            Stand then = new Stand(serving, arriving, leaving);
            List<Outcome> kept = next.computeIfAbsent(then, s -> new ArrayList<>());
            for (Outcome o : outcomes) {
                Outcome after = step(o, then, moves, slots);
                if (after.cost <= bound) {
                    keep(kept, after);
                }
            }
        }
    }

    private Outcome outcome(Score score, double[] queues) {
        return new Outcome(score.cost(fleet.weights()), score, queues);
    }

    private Outcome step(Outcome o, Stand stand, int moves, double[] slots) {
        double buffer = 0;
        double spare = 0;
        double waited = 0;
        double work = 0;
        double[] queues = new double[count];
        for (int p = 0; p < count; p++) {
            double capacity = stand.serving[p] * (double) Deployment.SLOTS;
            double done = FluidQueue.served(o.queues[p], slots[p], capacity, seconds);
            queues[p] = o.queues[p] + slots[p] * seconds - done;
            waited += FluidQueue.waited(o.queues[p], queues[p], seconds);
            work += slots[p] * seconds;
            double idle = (capacity * seconds - done) / Deployment.SLOTS;
            double held = idle + stand.arriving[p] * seconds;
            if (fleet.pools().get(p).capacity().spare()) {
                spare += held;
            } else {
                buffer += held;
            }
        }
        return outcome(o.score.plus(new Score(moves, buffer, spare, waited, work)), queues);
    }

    private static void keep(List<Outcome> kept, Outcome added) {
        for (Outcome o : kept) {
            if (o.noWorse(added)) {
                return;
            }
        }
        kept.removeIf(added::noWorse);
        kept.add(added);
    }

    /** Returns every net change of the pools that the limits allow. */
    private List<int[]> changes(Stand stand) {
        List<int[]> all = new ArrayList<>();
        extend(stand, new int[count], 0, 0, all);
        return all;
    }

    private void extend(Stand stand, int[] change, int pool, int sum, List<int[]> all) {
        if (pool == count) {
            if (sum == 0) {
                all.add(change.clone());
            }
            return;
        }
        Deployment.Pool p = fleet.pools().get(pool);
        int overMin = stand.serving[pool] - p.capacity().minWorkers();
        int inBudget = p.budget().maxUnavailable() - stand.leaving[pool];
        int give = Math.max(0, Math.min(overMin, inBudget));
        int here = stand.serving[pool] + stand.arriving[pool];
        int take = Math.max(0, p.capacity().maxWorkers() - here);
        for (int c = -give; c <= take; c++) {
            change[pool] = c;
            extend(stand, change, pool + 1, sum + c, all);
        }
        change[pool] = 0;
    }

    /**
     * Where a search starts.
     *
     * @param serving the workers that serve, by pool
     * @param arriving the workers that arrive with the first step, by pool
     * @param leaving the workers that leave with the first step, by pool
     * @param queues the slot-seconds that wait, by pool
     */
    public record Start(int[] serving, int[] arriving, int[] leaving, double[] queues) {}

    /** Where the workers stand. */
    private record Stand(int[] serving, int[] arriving, int[] leaving) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Stand s
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

    /** The score and cost so far, and what waits. */
    private record Outcome(double cost, Score score, double[] queues) {
        boolean noWorse(Outcome other) {
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
