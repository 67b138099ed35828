package org.crocusgrade.core.submission;

/**
 * The resources that a task needs, or that a worker has.
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators number of accelerators
 */
public record Resources(long milliCores, long memoryMb, int accelerators) {
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMb + other.memoryMb,
                saturated((long) accelerators + other.accelerators));
    }

    /** Returns the difference; amounts may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMb - other.memoryMb,
                saturated((long) accelerators - other.accelerators));
    }

    /** Returns the larger of both, for each amount. */
    public Resources atLeast(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the sum of several equal amounts. */
    public Resources times(int count) {
        return new Resources(
                milliCores * count, memoryMb * count, saturated((long) accelerators * count));
    }

    private static int saturated(long amount) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, amount));
    }

    /** Returns whether no amount exceeds that of the other. */
    public boolean fitsIn(Resources other) {
        return milliCores <= other.milliCores
                && memoryMb <= other.memoryMb
                && accelerators <= other.accelerators;
    }

    /** Returns a copy without processors, for opportunistic tasks, which reserve none. */
    public Resources withoutCores() {
        return new Resources(0, memoryMb, accelerators);
    }
}
