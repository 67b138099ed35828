package org.crocusgrade.bench.plan;

import java.util.Locale;
import org.crocusgrade.core.fleet.plan.PlanWeights;

/**
 * Result of a planner's decisions over a trace.
 *
 * @param moves number of moves started
 * @param buffer host-seconds that were idle in pools other than spare pools, plus those of hosts
 *     that were moving to such a pool
 * @param spare the same of spare pools
 * @param waited waiting time of work, in slot-seconds times seconds
 * @param work slot-seconds of work that arrived
 */
public record Score(int moves, double buffer, double spare, double waited, double work) {
    /** The score before the first step. */
    public static final Score ZERO = new Score(0, 0, 0, 0, 0);

    /** Returns the sum of this score and another one. */
    public Score plus(Score other) {
        return new Score(
                moves + other.moves,
                buffer + other.buffer,
                spare + other.spare,
                waited + other.waited,
                work + other.work);
    }

    /** Returns the difference to an earlier score of the same simulation. */
    public Score minus(Score earlier) {
        return new Score(
                moves - earlier.moves,
                buffer - earlier.buffer,
                spare - earlier.spare,
                waited - earlier.waited,
                work - earlier.work);
    }

    /** Returns the mean waiting time of a unit of work, in seconds; 0 if no work arrived. */
    public double meanWait() {
        return work == 0 ? 0 : waited / work;
    }

    /**
     * Returns the weighted cost that a planner is to minimize. Idle workers of spare pools cost
     * nothing.
     */
    public double cost(PlanWeights weights) {
        return waited + moves * weights.moveWeight() + buffer * weights.bufferWeight();
    }

    /** Returns the score as one line of text for reports. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "moves %d, buffer %.1f host-s, spare idle %.1f host-s, mean wait %.3f s",
                moves,
                buffer,
                spare,
                meanWait());
    }
}
