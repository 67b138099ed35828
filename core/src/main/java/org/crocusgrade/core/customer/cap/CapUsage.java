package org.crocusgrade.core.customer.cap;

import java.util.Objects;
import org.crocusgrade.core.submission.Resources;

/**
 * What one customer uses and wants in a pool.
 *
 * @param running the demand of all tasks that run or may run
 * @param wanted the demand of startable tasks, no more than what the pool has free
 * @param granted the limit that the pool's owner applies
 */
public record CapUsage(Resources running, Resources wanted, Resources granted) {
    public static final CapUsage NONE =
            new CapUsage(Resources.NONE, Resources.NONE, Resources.NONE);

    /** Rejects null fields. */
    public CapUsage {
        Objects.requireNonNull(running);
        Objects.requireNonNull(wanted);
        Objects.requireNonNull(granted);
    }

    /** Returns whether all amounts are 0. */
    public boolean isNone() {
        return equals(NONE);
    }
}
