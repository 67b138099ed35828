package org.crocusgrade.core.submission;

/**
 * What a task takes of a worker, or what a worker has.
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators accelerators
 */
public record Resources(long milliCores, long memoryMb, int accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Returns the difference. */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** Returns whether all of this is there in the other. */
    public boolean fitsIn(Resources other) {
        return milliCores <= other.milliCores
                && memoryMb <= other.memoryMb
                && accelerators <= other.accelerators;
    }

    /** Returns this without processors, for tasks that only take what others leave. */
    public Resources withoutCores() {
        return new Resources(0, memoryMb, accelerators);
    }
}
