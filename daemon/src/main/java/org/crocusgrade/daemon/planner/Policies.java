package org.crocusgrade.daemon.planner;

import org.crocusgrade.core.config.FleetPolicy;
import org.crocusgrade.core.config.FleetPolicy.RollOut;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.maintenance.RolloutPolicy;

/** Turns the published policy of the fleet into what the planners take. */
public final class Policies {
    private static final double PERCENT = 100;

    private Policies() {}

    /** Returns what the planner of moves pays for. */
    public static PlanWeights weights(FleetPolicy policy) {
        return new PlanWeights(policy.moveWeight(), policy.bufferWeight());
    }

    /** Returns how an image is rolled out. */
    public static RolloutPolicy rollOut(FleetPolicy policy) {
        RollOut r = policy.rollOut();
        return new RolloutPolicy(
                r.image(),
                r.attempt(),
                r.paused(),
                r.canaryPercent() / PERCENT,
                r.watch(),
                r.maxFailures(),
                r.rebootTimeout());
    }
}
