package org.crocusgrade.core.customer.cap;

import org.crocusgrade.core.customer.ResourceCap;
import org.crocusgrade.core.submission.Resources;

/** Amounts by kind of resource: processors, memory, accelerators. */
final class Amounts {
    static final int KINDS = 3;
    static final long[] ZERO = new long[KINDS];

    private Amounts() {}

    static long[] of(Resources resources) {
        return new long[] {resources.milliCores(), resources.memoryMb(), resources.accelerators()};
    }

    static long[] of(ResourceCap cap) {
        return new long[] {cap.milliCores(), cap.memoryMb(), cap.accelerators()};
    }

    static Resources resources(long[] amounts) {
        return new Resources(amounts[0], amounts[1], (int) Math.min(Integer.MAX_VALUE, amounts[2]));
    }

    /** Raises each amount to that of the resources, if it is lower. */
    static void raise(long[] amounts, Resources to) {
        amounts[0] = Math.max(amounts[0], to.milliCores());
        amounts[1] = Math.max(amounts[1], to.memoryMb());
        amounts[2] = Math.max(amounts[2], to.accelerators());
    }
}
