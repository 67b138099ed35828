package org.crocusgrade.bench.plan;

/** Demand of one pool as a fluid: what a step's capacity does not serve waits for the next. */
final class FluidQueue {
    private FluidQueue() {}

    /** Returns the slot-seconds served in a step. */
    static double served(double waiting, double offered, double capacity, double seconds) {
        return Math.min(waiting + offered * seconds, capacity * seconds);
    }

    /** Returns the slot-seconds times seconds that demand waited in a step. */
    static double waited(double before, double after, double seconds) {
        return (before + after) / 2 * seconds;
    }
}
