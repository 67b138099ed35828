package org.crocusgrade.core.fleet.plan;

import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.id.PoolId;

/**
 * Enforces the hard limits of a plan: the minimum and maximum number of workers of each pool and
 * its availability budget. The counts come from the view alone, not from forecasts. Moves are
 * checked one by one in the order in which they are carried out, so every prefix of a plan keeps
 * the limits too.
 */
final class MoveLimits {
    private final Map<PoolId, PoolCount> counts = new HashMap<>();

    MoveLimits(FleetView view) {
        for (PoolView p : view.pools()) {
            counts.put(p.pool(), new PoolCount(p));
        }
        for (WorkerView w : view.workers()) {
            PoolCount current = counts.get(w.pool());
            if (current != null && w.serves()) {
                current.serving++;
            } else if (current != null) {
                current.unavailable++;
            }
            PoolCount target = counts.get(w.target());
            if (target != null) {
                target.assigned++;
            }
        }
    }

    /** Admits and counts a move if it keeps the limits; returns whether it was admitted. */
    boolean admit(Plan.Move move) {
        PoolCount from = counts.get(move.from());
        PoolCount to = counts.get(move.to());
        if (from.serving <= from.pool.capacity().minWorkers()
                || from.unavailable >= from.pool.budget().maxUnavailable()
                || to.assigned >= to.pool.capacity().maxWorkers()) {
            return false;
        }
        from.serving--;
        from.unavailable++;
        from.assigned--;
        to.assigned++;
        return true;
    }

    /**
     * Counts the workers of one pool: those that serve it, those in it that do not, and those whose
     * target it is.
     */
    private static final class PoolCount {
        final PoolView pool;
        int serving;
        int unavailable;
        int assigned;

        PoolCount(PoolView pool) {
            this.pool = pool;
        }
    }
}
