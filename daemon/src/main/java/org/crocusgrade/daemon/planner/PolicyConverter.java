package org.crocusgrade.daemon.planner;

import org.crocusgrade.core.config.FleetPolicy;
import org.crocusgrade.core.config.FleetPolicy.RollOut;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.maintenance.RolloutPolicy;

/** Converts the published policy of the fleet to the inputs of the planners. */
public final class PolicyConverter {
    private static final double PERCENT = 100;

    private PolicyConverter() {}

    /** Returns the weights that the planner applies to moves and to idle workers. */
    public static PlanWeights weights(FleetPolicy policy) {
        return new PlanWeights(policy.moveWeight(), policy.bufferWeight());
    }

    /** Returns the policy of the roll-out of a host image; percentages become fractions. */
    public static RolloutPolicy rollOut(FleetPolicy policy) {
        RollOut rollOutSettings = policy.rollOut();
        return new RolloutPolicy(
                rollOutSettings.image(),
                rollOutSettings.attempt(),
                rollOutSettings.paused(),
                rollOutSettings.canaryPercent() / PERCENT,
                rollOutSettings.watch(),
                rollOutSettings.maxFailures(),
                rollOutSettings.rebootTimeout());
    }
}
