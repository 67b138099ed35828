package org.crocusgrade.bench.plan;

import java.util.Locale;
import org.crocusgrade.core.fleet.plan.PlanWeights;

/**
 * What a planner's decisions came to over a trace.
 *
 * @param moves the moves started
 * @param buffer the idle host-seconds held in pools that are not spare, and by hosts on their way
 * @param spare the idle host-seconds in spare pools
 * @param waited the slot-seconds of work that waited, summed over the time they waited
 * @param work the slot-seconds of work that arrived
 */
public record Score(int moves, double buffer, double spare, double waited, double work) {
    /** Nothing so far. */
    public static final Score ZERO = new Score(0, 0, 0, 0, 0);

    /** Returns the sum of two. */
    public Score plus(Score other) {
        return new Score(
                moves + other.moves,
                buffer + other.buffer,
                spare + other.spare,
                waited + other.waited,
                work + other.work);
    }

    /** Returns this less an earlier one of the same run. */
    public Score minus(Score earlier) {
        return new Score(
                moves - earlier.moves,
                buffer - earlier.buffer,
                spare - earlier.spare,
                waited - earlier.waited,
                work - earlier.work);
    }

    /** Returns the mean time that a unit of work waited, in seconds. */
    public double meanWait() {
        return work == 0 ? 0 : waited / work;
    }

    /** Returns the cost that the planner is to keep low. */
    public double cost(PlanWeights weights) {
        return waited + moves * weights.moveWeight() + buffer * weights.bufferWeight();
    }

    /** Returns the figures as one line. */
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
