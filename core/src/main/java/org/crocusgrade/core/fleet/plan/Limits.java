package org.crocusgrade.core.fleet.plan;

import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.id.PoolId;

/**
 * The limits that no plan may break, counted on the view itself and on nothing forecast: the least
 * and greatest numbers of each pool and its availability budget. They are checked move by move, in
 * the order in which the moves are carried out, so every prefix of a plan keeps them too.
 */
final class Limits {
    private final Map<PoolId, Count> counts = new HashMap<>();

    Limits(FleetView view) {
        for (PoolView p : view.pools()) {
            counts.put(p.pool(), new Count(p));
        }
        for (WorkerView w : view.workers()) {
            Count here = counts.get(w.pool());
            if (here != null && w.serves()) {
                here.serving++;
            } else if (here != null) {
                here.unavailable++;
            }
            Count there = counts.get(w.target());
            if (there != null) {
                there.held++;
            }
        }
    }

    /** Counts a move if it keeps the limits; returns whether it does. */
    boolean admit(Plan.Move move) {
        Count from = counts.get(move.from());
        Count to = counts.get(move.to());
        if (from.serving <= from.pool.capacity().minWorkers()
                || from.unavailable >= from.pool.budget().maxUnavailable()
                || to.held >= to.pool.capacity().maxWorkers()) {
            return false;
        }
        from.serving--;
        from.unavailable++;
        from.held--;
        to.held++;
        return true;
    }

    /** One pool's workers. */
    private static final class Count {
        final PoolView pool;
        int serving;
        int unavailable;
        int held;

        Count(PoolView pool) {
            this.pool = pool;
        }
    }
}
