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
 * The naive planner: a pool used above the upper threshold fetches what brings it down to the
 * middle, from the spare pool first and then from the least used pool below the lower threshold; a
 * pool used below the lower threshold hands back to the spare pool what brings it up to the middle.
 * It keeps the same least and greatest numbers, budgets and dwell time, and learns nothing. What
 * waits is left out of a pool's use: with it, the planner fetches too many and does worse.
 */
public final class ThresholdPlanner implements Planner {
    private static final double UPPER = 0.8;
    private static final double MIDDLE = 0.6;
    private static final double LOWER = 0.3;

    private final PlanSettings settings;

    /** Makes the planner. */
    public ThresholdPlanner(PlanSettings settings) {
        this.settings = settings;
    }

    @Override
    public Plan plan(FleetView view) {
        Map<PoolId, Use> uses = new HashMap<>();
        for (PoolView p : view.pools()) {
            uses.put(p.pool(), new Use(p, view, settings));
        }
        List<Plan.Move> moves = new ArrayList<>();
        for (PoolView p : view.pools()) {
            Use to = uses.get(p.pool());
            while (to.known && to.workers < p.capacity().maxWorkers() && to.workers < to.wanted) {
                Optional<Use> from = lender(uses, to);
                if (from.isEmpty()) {
                    break;
                }
                moves.add(from.get().move(to, PlanReason.SURGE));
            }
        }
        Optional<Use> spare =
                uses.values().stream()
                        .filter(u -> u.pool.capacity().spare())
                        .min(Comparator.comparing(u -> u.pool.pool()));
        for (PoolView p : view.pools()) {
            Use from = uses.get(p.pool());
            while (spare.isPresent()
                    && !p.capacity().spare()
                    && from.known
                    && from.workers > from.wanted
                    && from.mayGive()
                    && spare.get().workers < spare.get().pool.capacity().maxWorkers()) {
                moves.add(from.move(spare.get(), PlanReason.RELEASE));
            }
        }
        return new Plan(view.now(), moves, List.of());
    }

    private static Optional<Use> lender(Map<PoolId, Use> uses, Use to) {
        return uses.values().stream()
                .filter(u -> u != to && u.known && u.mayGive())
                .filter(u -> u.pool.capacity().spare() ? u.used() < UPPER : u.used() < LOWER)
                .min(
                        Comparator.<Use, Boolean>comparing(u -> !u.pool.capacity().spare())
                                .thenComparing(Use::used)
                                .thenComparing(u -> u.pool.pool()));
    }

    /** One pool's use. */
    private static final class Use {
        final PoolView pool;
        final boolean known;
        final List<WorkerView> givable = new ArrayList<>();
        int slots = 1;
        int serving;
        int workers;
        int unavailable;
        int wanted;
        double load;

        Use(PoolView pool, FleetView view, PlanSettings settings) {
            this.pool = pool;
            this.known = pool.demand().isPresent();
            for (WorkerView w : view.workers()) {
                slots = Math.max(slots, w.slots());
                boolean here = w.pool().equals(pool.pool());
                if (here && w.serves()) {
                    serving++;
                    workers++;
                    if (!w.lastMove().plus(settings.dwell()).isAfter(view.now())) {
                        givable.add(w);
                    }
                } else if (here) {
                    unavailable++;
                } else if (w.target().equals(pool.pool()) && w.arriving()) {
                    workers++;
                }
            }
            givable.sort(
                    Comparator.comparing(WorkerView::running).thenComparing(WorkerView::worker));
            wanted = workers;
            if (known) {
                DemandDigest digest = pool.demand().get();
                load = digest.offeredByAll();
                if (used() > UPPER || used() < LOWER) {
                    wanted = (int) Math.ceil(load / (slots * MIDDLE));
                }
            }
        }

        double used() {
            return load / Math.max(1, workers * slots);
        }

        boolean mayGive() {
            return !givable.isEmpty()
                    && serving > pool.capacity().minWorkers()
                    && unavailable < pool.budget().maxUnavailable();
        }

        Plan.Move move(Use to, PlanReason reason) {
            WorkerView w = givable.remove(0);
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
