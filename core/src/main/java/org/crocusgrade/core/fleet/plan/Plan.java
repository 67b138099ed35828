package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * What shall change now, and why.
 *
 * @param at the time of the view it was made from
 * @param moves the moves to start, in order of worth
 * @param holds one entry for each pool that gets no worker
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
     * @param to the pool that it shall serve
     * @param reason why
     * @param inputs what the decision was made from
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
     * What a move was weighed by. Costs are in slot-seconds of waiting, over the planner's horizon.
     *
     * @param fromWorkers the giving pool's workers before the move
     * @param toWorkers the taking pool's workers before the move, those on their way included
     * @param fromSlots the slots that the giving pool's demand asks for now
     * @param toSlots the slots that the taking pool's demand asks for now
     * @param drainTime the time until the worker is expected to serve its new pool
     * @param toSaved the cost that the taking pool is spared
     * @param fromAdded the cost that the giving pool bears; below 0 if it is spared some
     * @param laterSaved the cost that pools are spared that it is expected to serve after that
     * @param moveCost the cost of the move itself and of those expected to follow
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
        /** Returns what the move is worth. */
        public double gain() {
            return toSaved - fromAdded + laterSaved - moveCost;
        }
    }

    /**
     * A pool that gets no worker.
     *
     * @param pool the pool
     * @param reason why
     * @param workers the workers that it has, those on their way included
     * @param slots the slots that its demand asks for now
     */
    public record Hold(PoolId pool, PlanReason reason, int workers, double slots) {
        /** Checks the fields. */
        public Hold {
            Objects.requireNonNull(pool);
            Objects.requireNonNull(reason);
        }
    }
}
