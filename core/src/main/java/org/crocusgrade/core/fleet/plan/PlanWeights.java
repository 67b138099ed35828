package org.crocusgrade.core.fleet.plan;

/**
 * The weights of the planner's costs, relative to the cost of one slot-second of waiting work.
 *
 * @param moveWeight the cost of one move of a worker
 * @param bufferWeight the cost of one worker that is idle for one second in a pool other than a
 *     spare pool
 */
public record PlanWeights(double moveWeight, double bufferWeight) {
    /** Checks the ranges. */
    public PlanWeights {
        if (!(moveWeight >= 0) || !(bufferWeight >= 0)) {
            throw new IllegalArgumentException("weights must not be negative");
        }
    }
}
