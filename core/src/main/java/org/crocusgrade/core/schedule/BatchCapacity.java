package org.crocusgrade.core.schedule;

/**
 * What a pool has left for batch work after the reservations of long-running tasks.
 *
 * @param cores processors, in cores
 * @param memoryMb memory, in MB
 */
public record BatchCapacity(double cores, double memoryMb) {
    /** Returns how long the work takes on all of this capacity, in milliseconds. */
    double millisFor(Work work) {
        return Math.max(
                work.coreMillis() / Math.max(1, cores),
                work.memoryMillis() / Math.max(1, memoryMb));
    }
}
