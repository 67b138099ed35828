package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.Objects;

/**
 * The time settings and thresholds of the planner.
 *
 * @param tick the interval between two plans
 * @param step the length of one step of the horizon
 * @param horizon how far ahead demand is forecast and costs are summed
 * @param dwell the minimum time between two moves of one worker
 * @param moveTime the time that a move takes after the worker has drained
 * @param stale the age at which a digest is no longer used
 * @param minCoverage the coverage below which a digest is not used
 */
public record PlanSettings(
        Duration tick,
        Duration step,
        Duration horizon,
        Duration dwell,
        Duration moveTime,
        Duration stale,
        double minCoverage) {
    /** The settings of the daemon. */
    public static final PlanSettings DEFAULT =
            new PlanSettings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(4),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(10),
                    0.5);

    /** Checks the ranges. */
    public PlanSettings {
        requirePositive(tick);
        requirePositive(step);
        requirePositive(horizon);
        requirePositive(stale);
        Objects.requireNonNull(dwell);
        Objects.requireNonNull(moveTime);
        if (dwell.isNegative() || moveTime.isNegative() || horizon.compareTo(step) < 0) {
            throw new IllegalArgumentException(
                    "planner dwell and move time must be at least 0, the horizon at least a step");
        }
        if (!(minCoverage > 0 && minCoverage <= 1)) {
            throw new IllegalArgumentException("minimum coverage must be above 0 and at most 1");
        }
    }

    /** Returns the number of steps in the horizon. */
    public int steps() {
        return (int) (horizon.toNanos() / step.toNanos());
    }

    /** Converts a time to steps, rounded up and limited to the horizon. */
    public int stepsOf(Duration time) {
        long steps = (time.toNanos() + step.toNanos() - 1) / step.toNanos();
        return (int) Math.min(steps, steps());
    }

    private static void requirePositive(Duration time) {
        if (time.isNegative() || time.isZero()) {
            throw new IllegalArgumentException("planner times must be above 0");
        }
    }
}
