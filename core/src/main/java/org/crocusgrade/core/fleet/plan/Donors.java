package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;

/**
 * The workers that may leave each pool now, the best first: those whose running work ends soonest,
 * so that hosts with long work move last, then those in the zone where the pool has the most.
 */
final class Donors {
    private final Map<PoolId, List<WorkerView>> byPool = new TreeMap<>();

    Donors(FleetView view, PlanSettings settings) {
        Map<PoolId, Map<AvailabilityZone, Integer>> zones = new HashMap<>();
        for (WorkerView w : view.workers()) {
            if (!w.serves()) {
                continue;
            }
            zones.computeIfAbsent(w.pool(), p -> new HashMap<>()).merge(w.zone(), 1, Integer::sum);
            if (mayMove(w, view.now(), settings.dwell())) {
                byPool.computeIfAbsent(w.pool(), p -> new ArrayList<>()).add(w);
            }
        }
        for (Map.Entry<PoolId, List<WorkerView>> e : byPool.entrySet()) {
            Map<AvailabilityZone, Integer> zone = zones.get(e.getKey());
            Comparator<WorkerView> order =
                    Comparator.comparing(WorkerView::drainTime)
                            .thenComparing(WorkerView::running)
                            .thenComparing(w -> -zone.get(w.zone()))
                            .thenComparing(WorkerView::worker);
            e.getValue().sort(order);
        }
    }

    private static boolean mayMove(WorkerView worker, Instant now, Duration dwell) {
        return !worker.lastMove().plus(dwell).isAfter(now);
    }

    /** Returns the worker that the pool gives next, or null. */
    WorkerView next(PoolId pool) {
        List<WorkerView> workers = byPool.get(pool);
        return workers == null || workers.isEmpty() ? null : workers.get(0);
    }

    void taken(WorkerView worker) {
        byPool.get(worker.pool()).remove(worker);
    }
}
