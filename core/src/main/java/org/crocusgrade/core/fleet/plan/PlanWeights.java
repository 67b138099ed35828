package org.crocusgrade.core.fleet.plan;

/**
 * What a deployment pays for, in the cost of one slot-second that demand waits.
 *
 * @param moveWeight the cost of one move of a worker
 * @param bufferWeight the cost of one worker idle for one second in a pool that is not spare
 */
public record PlanWeights(double moveWeight, double bufferWeight) {
    /** Checks the ranges. */
    public PlanWeights {
        if (!(moveWeight >= 0) || !(bufferWeight >= 0)) {
            throw new IllegalArgumentException("weights must not be negative");
        }
    }
}
