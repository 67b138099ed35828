package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The moves to start now, and the reason for each move and for each pool that receives none.
 *
 * @param at the time of the view from which it was computed
 * @param moves the moves to start, in the order in which to start them
 * @param holds one entry for each pool that receives no worker
 */
public record Plan(Instant at, List<Move> moves, List<Hold> holds) {
    /** Copies the lists. */
    public Plan {
        Objects.requireNonNull(at);
        moves = List.copyOf(moves);
        holds = List.copyOf(holds);
    }

    /**
     * One worker's move to another pool.
     *
     * @param worker the worker
     * @param from the pool that it leaves
     * @param to the pool that it is to serve
     * @param reason why the worker moves
     * @param inputs the figures behind the decision
     */
    public record Move(WorkerId worker, PoolId from, PoolId to, PlanReason reason, Inputs inputs) {
        /** Checks the fields. */
        public Move {
            Objects.requireNonNull(worker);
            Objects.requireNonNull(from);
            Objects.requireNonNull(to);
            Objects.requireNonNull(reason);
            Objects.requireNonNull(inputs);
        }
    }

    /**
     * The figures by which a move was weighed. Costs are summed over the planner's horizon, in
     * slot-seconds of waiting.
     *
     * @param fromWorkers the workers of the giving pool before the move
     * @param toWorkers the workers of the receiving pool before the move, including those moving to
     *     it
     * @param fromSlots the current demand of the giving pool, in slots
     * @param toSlots the current demand of the receiving pool, in slots
     * @param drainTime the time until the worker's longest request is expected to end
     * @param toSaved the cost that the move saves the receiving pool
     * @param fromAdded the cost that the move adds to the giving pool; negative if it saves some
     * @param laterSaved the cost saved in pools that the worker is expected to serve later
     * @param moveCost the cost of the move itself and of the later moves planned for the worker
     */
    public record Inputs(
            int fromWorkers,
            int toWorkers,
            double fromSlots,
            double toSlots,
            Duration drainTime,
            double toSaved,
            double fromAdded,
            double laterSaved,
            double moveCost) {
        /** Returns the net gain of the move, in slot-seconds. */
        public double gain() {
            return toSaved - fromAdded + laterSaved - moveCost;
        }
    }

    /**
     * A pool that receives no worker.
     *
     * @param pool the pool
     * @param reason why it receives none
     * @param workers its workers, including those moving to it
     * @param slots its current demand, in slots
     */
    public record Hold(PoolId pool, PlanReason reason, int workers, double slots) {
        /** Checks the fields. */
        public Hold {
            Objects.requireNonNull(pool);
            Objects.requireNonNull(reason);
        }
    }
}
