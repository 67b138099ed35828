package org.crocusgrade.bench.plan;

/** Fluid model of one pool's queue: work that exceeds the capacity of a step waits for the next. */
final class FluidQueue {
    private FluidQueue() {}

    /** Returns the slot-seconds of work that are served in a step. */
    static double served(double waiting, double offered, double capacity, double seconds) {
        return Math.min(waiting + offered * seconds, capacity * seconds);
    }

    /**
     * Returns the waiting time that accrues in a step, in slot-seconds times seconds, from the
     * queue lengths before and after it (trapezoidal rule).
     */
    static double waited(double before, double after, double seconds) {
        return (before + after) / 2 * seconds;
    }
}
