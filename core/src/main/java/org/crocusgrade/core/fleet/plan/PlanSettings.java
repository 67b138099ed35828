package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.util.Objects;

/**
 * The planner's times and bounds.
 *
 * @param tick the time between two plans
 * @param step the step in which costs over the horizon are summed
 * @param horizon how far ahead costs are summed
 * @param dwell the least time between two moves of one worker
 * @param moveTime the time that a move takes besides its drain
 * @param stale the age from which a digest says nothing
 * @param minCoverage the share of daemons below which a digest says nothing
 */
public record PlanSettings(
        Duration tick,
        Duration step,
        Duration horizon,
        Duration dwell,
        Duration moveTime,
        Duration stale,
        double minCoverage) {
    /** The settings that the daemon uses. */
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
            throw new IllegalArgumentException("times of the planner are out of range");
        }
        if (!(minCoverage > 0 && minCoverage <= 1)) {
            throw new IllegalArgumentException("coverage must be above 0 and at most 1");
        }
    }

    /** Returns the number of steps in the horizon. */
    public int steps() {
        return (int) (horizon.toNanos() / step.toNanos());
    }

    /** Returns the steps that a time takes, rounded up and at most the horizon. */
    public int stepsOf(Duration time) {
        long steps = (time.toNanos() + step.toNanos() - 1) / step.toNanos();
        return (int) Math.min(steps, steps());
    }

    private static void requirePositive(Duration time) {
        if (time.isNegative() || time.isZero()) {
            throw new IllegalArgumentException("times of the planner must be above 0");
        }
    }
}
