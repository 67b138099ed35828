package org.crocusgrade.core.fleet.plan;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * A region at one moment, as far as the planner knows it.
 *
 * @param now the time
 * @param workers its workers, kept in order of id
 * @param pools its pools, kept in order of id
 * @param weights what the deployment pays for
 */
public record FleetView(
        Instant now, List<WorkerView> workers, List<PoolView> pools, PlanWeights weights) {
    /** Sorts the lists, and checks that no id stands twice. */
    public FleetView {
        Objects.requireNonNull(now);
        Objects.requireNonNull(weights);
        workers = workers.stream().sorted(Comparator.comparing(WorkerView::worker)).toList();
        pools = pools.stream().sorted(Comparator.comparing(PoolView::pool)).toList();
        Set<WorkerId> ids = new HashSet<>();
        for (WorkerView w : workers) {
            if (!ids.add(w.worker())) {
                throw new IllegalArgumentException("a worker stands twice in the view");
            }
        }
        Set<PoolId> names = new HashSet<>();
        for (PoolView p : pools) {
            if (!names.add(p.pool())) {
                throw new IllegalArgumentException("a pool stands twice in the view");
            }
        }
    }
}
