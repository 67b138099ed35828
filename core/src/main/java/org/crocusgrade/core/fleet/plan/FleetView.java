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
 * A snapshot of a region's workers and pools: the input of the planner.
 *
 * @param now the time
 * @param workers its workers, sorted by id
 * @param pools its pools, sorted by id
 * @param weights the weights of the planner's costs
 */
public record FleetView(
        Instant now, List<WorkerView> workers, List<PoolView> pools, PlanWeights weights) {
    /** Sorts the lists and rejects duplicate ids. */
    public FleetView {
        Objects.requireNonNull(now);
        Objects.requireNonNull(weights);
        workers = workers.stream().sorted(Comparator.comparing(WorkerView::worker)).toList();
        pools = pools.stream().sorted(Comparator.comparing(PoolView::pool)).toList();
        Set<WorkerId> ids = new HashSet<>();
        for (WorkerView w : workers) {
            if (!ids.add(w.worker())) {
                throw new IllegalArgumentException("duplicate worker id in the fleet view");
            }
        }
        Set<PoolId> names = new HashSet<>();
        for (PoolView p : pools) {
            if (!names.add(p.pool())) {
                throw new IllegalArgumentException("duplicate pool id in the fleet view");
            }
        }
    }
}
