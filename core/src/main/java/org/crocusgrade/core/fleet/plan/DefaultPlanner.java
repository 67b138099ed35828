package org.crocusgrade.core.fleet.plan;

import java.util.Objects;

/**
 * Moves a worker when the demand forecast over the horizon makes the move worth more than it costs,
 * and starts the move as late as possible without losing value.
 *
 * <p>Idea: forecast each pool's demand over a horizon ({@link DemandForecaster}), plan a route for
 * each worker, that is, which pools it serves over that horizon ({@link PlanSearch}, {@link
 * RouteSearch}), carry out only the moves that start now, and plan again at the next tick. Planning
 * whole routes, not just the next step, allows a worker to be lent although its pool will surge
 * later in the horizon, because the cost of the plan includes moving it back, or moving another
 * worker there.
 *
 * <p>The weights of {@link PlanWeights} shape the plan without special cases. If the weight of a
 * move dominates, a worker stays in the pool of the last surge until it moves straight to the pool
 * of the next one; if the weight of idle workers dominates, it goes to the spare pool in between.
 *
 * <p>Hard limits take precedence over any gain: the minimum and maximum number of workers of a
 * pool, its availability budget (which also counts workers that are down for other causes), the
 * dwell time, and that only a worker that is up, serving and not moving may be moved. A pool whose
 * demand is unknown neither gives nor receives workers, except that it is filled up to its minimum.
 */
public final class DefaultPlanner implements Planner {
    private final PlanSettings settings;
    private final DemandForecaster forecaster;

    /** Creates a planner without any demand history. */
    public DefaultPlanner(PlanSettings settings) {
        this.settings = Objects.requireNonNull(settings);
        this.forecaster = new DemandForecaster(settings);
    }

    @Override
    public Plan plan(FleetView view) {
        forecaster.observe(view);
        return new PlanSearch(view, settings, forecaster).plan();
    }
}
