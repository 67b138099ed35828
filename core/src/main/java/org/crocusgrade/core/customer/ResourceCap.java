package org.crocusgrade.core.customer;

import org.crocusgrade.core.submission.Resources;

/**
 * Upper bounds of what a customer may have running; 0 means that a resource is not limited.
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators number of accelerators
 */
public record ResourceCap(long milliCores, long memoryMb, int accelerators) {
    public static final ResourceCap UNLIMITED = new ResourceCap(0, 0, 0);

    /** Rejects negative bounds. */
    public ResourceCap {
        if (milliCores < 0 || memoryMb < 0 || accelerators < 0) {
            throw new IllegalArgumentException("a resource cap must not be negative");
        }
    }

    /** Returns whether no resource is limited. */
    public boolean isUnlimited() {
        return milliCores == 0 && memoryMb == 0 && accelerators == 0;
    }

    /** Returns whether the given amounts are within the cap. */
    public boolean allows(Resources running) {
        return (milliCores == 0 || running.milliCores() <= milliCores)
                && (memoryMb == 0 || running.memoryMb() <= memoryMb)
                && (accelerators == 0 || running.accelerators() <= accelerators);
    }
}
