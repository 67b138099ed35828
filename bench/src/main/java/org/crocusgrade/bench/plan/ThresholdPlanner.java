package org.crocusgrade.bench.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.fleet.plan.DemandDigest;
import org.crocusgrade.core.fleet.plan.FleetView;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.fleet.plan.PlanReason;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.Planner;
import org.crocusgrade.core.fleet.plan.PoolView;
import org.crocusgrade.core.fleet.plan.WorkerView;
import org.crocusgrade.core.id.PoolId;

/**
 * Baseline planner that reacts to the current utilization of each pool. A pool above the upper
 * threshold takes enough workers to reach the target utilization, from the spare pool first and
 * then from the least utilized pool below the lower threshold. A pool below the lower threshold
 * returns workers to the spare pool until it reaches the target.
 *
 * <p>Minimum and maximum sizes, budgets and dwell times are respected as by the daemon's planner;
 * demand is not forecast. Queued work is not part of the utilization: with it, the planner takes
 * too many workers and scores worse.
 */
public final class ThresholdPlanner implements Planner {
    private static final double UPPER_UTILIZATION = 0.8;
    private static final double TARGET_UTILIZATION = 0.6;
    private static final double LOWER_UTILIZATION = 0.3;

    private final PlanSettings settings;

    public ThresholdPlanner(PlanSettings settings) {
        this.settings = settings;
    }

    @Override
    public Plan plan(FleetView view) {
        Map<PoolId, PoolUsage> usageByPool = new HashMap<>();
        for (PoolView p : view.pools()) {
            usageByPool.put(p.pool(), new PoolUsage(p, view, settings));
        }
        List<Plan.Move> moves = new ArrayList<>();
        for (PoolView p : view.pools()) {
            PoolUsage to = usageByPool.get(p.pool());
            while (to.hasDemand
                    && to.workers < p.capacity().maxWorkers()
                    && to.workers < to.desiredWorkers) {
                Optional<PoolUsage> from = findDonor(usageByPool, to);
                if (from.isEmpty()) {
                    break;
                }
                moves.add(from.get().move(to, PlanReason.SURGE));
            }
        }
        Optional<PoolUsage> spare =
                usageByPool.values().stream()
                        .filter(u -> u.pool.capacity().spare())
                        .min(Comparator.comparing(u -> u.pool.pool()));
        for (PoolView p : view.pools()) {
            PoolUsage from = usageByPool.get(p.pool());
            while (spare.isPresent()
                    && !p.capacity().spare()
                    && from.hasDemand
                    && from.workers > from.desiredWorkers
                    && from.canReleaseWorker()
                    && spare.get().workers < spare.get().pool.capacity().maxWorkers()) {
                moves.add(from.move(spare.get(), PlanReason.RELEASE));
            }
        }
        return new Plan(view.now(), moves, List.of());
    }

    private static Optional<PoolUsage> findDonor(Map<PoolId, PoolUsage> usageByPool, PoolUsage to) {
        return usageByPool.values().stream()
                .filter(u -> u != to && u.hasDemand && u.canReleaseWorker())
                .filter(
                        u ->
                                u.pool.capacity().spare()
                                        ? u.utilization() < UPPER_UTILIZATION
                                        : u.utilization() < LOWER_UTILIZATION)
                .min(
                        Comparator.<PoolUsage, Boolean>comparing(u -> !u.pool.capacity().spare())
                                .thenComparing(PoolUsage::utilization)
                                .thenComparing(u -> u.pool.pool()));
    }

    /** Utilization of one pool, updated as moves are planned. */
    private static final class PoolUsage {
        final PoolView pool;
        final boolean hasDemand;
        final List<WorkerView> movable = new ArrayList<>();
        int slotsPerWorker = 1;
        int serving;
        int workers;
        int unavailable;
        int desiredWorkers;
        double load;

        PoolUsage(PoolView pool, FleetView view, PlanSettings settings) {
            this.pool = pool;
            this.hasDemand = pool.demand().isPresent();
            for (WorkerView w : view.workers()) {
                slotsPerWorker = Math.max(slotsPerWorker, w.slots());
                boolean inPool = w.pool().equals(pool.pool());
                if (inPool && w.serves()) {
                    serving++;
                    workers++;
                    if (!w.lastMove().plus(settings.dwell()).isAfter(view.now())) {
                        movable.add(w);
                    }
                } else if (inPool) {
                    unavailable++;
                } else if (w.target().equals(pool.pool()) && w.arriving()) {
                    workers++;
                }
            }
            movable.sort(
                    Comparator.comparing(WorkerView::running).thenComparing(WorkerView::worker));
            desiredWorkers = workers;
            if (hasDemand) {
                DemandDigest digest = pool.demand().get();
                load = digest.offeredByAll();
                if (utilization() > UPPER_UTILIZATION || utilization() < LOWER_UTILIZATION) {
                    desiredWorkers = (int) Math.ceil(load / (slotsPerWorker * TARGET_UTILIZATION));
                }
            }
        }

        double utilization() {
            return load / Math.max(1, workers * slotsPerWorker);
        }

        boolean canReleaseWorker() {
            return !movable.isEmpty()
                    && serving > pool.capacity().minWorkers()
                    && unavailable < pool.budget().maxUnavailable();
        }

        Plan.Move move(PoolUsage to, PlanReason reason) {
            WorkerView w = movable.remove(0);
            Plan.Inputs inputs =
                    new Plan.Inputs(serving, to.workers, load, to.load, w.drainTime(), 0, 0, 0, 0);
            serving--;
            workers--;
            unavailable++;
            to.workers++;
            return new Plan.Move(w.worker(), pool.pool(), to.pool.pool(), reason, inputs);
        }
    }
}
