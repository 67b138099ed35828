package org.crocusgrade.core.fleet.plan;

import java.util.Objects;

/**
 * Moves workers where the demand forecast for the next seconds makes a move worth more than it
 * costs, and as late as it is worth as much.
 *
 * <p>Idea: forecast each pool's demand over a horizon ({@link DemandLearner}), plan for each worker
 * which pools it serves over that horizon ({@link PlanRound}, {@link RouteSearch}), carry out only
 * what starts now, and plan again at the next tick. Planning whole routes, not just the next step,
 * is what lets a worker be lent although its pool will surge later in the horizon: the route that
 * brings it back, or brings another one, is part of the price.
 *
 * <p>The weights shape the plan without special cases. Where moves weigh most, a worker stays where
 * the last surge was until it goes straight to the next one; where the buffer weighs most, it goes
 * to the spare pool in between.
 *
 * <p>Hard limits come before any gain: least and greatest numbers, the availability budget with
 * workers that are down for other causes, the dwell time, and that only a worker that is up,
 * serving and not on its way may move. A pool whose demand is not known neither gives nor takes,
 * but that it is brought up to its least number.
 */
public final class DefaultPlanner implements Planner {
    private final PlanSettings settings;
    private final DemandLearner learner;

    /** Makes a planner that has learned nothing yet. */
    public DefaultPlanner(PlanSettings settings) {
        this.settings = Objects.requireNonNull(settings);
        this.learner = new DemandLearner(settings);
    }

    @Override
    public Plan plan(FleetView view) {
        learner.observe(view);
        return new PlanRound(view, settings, learner).plan();
    }
}
