package org.crocusgrade.core.fleet;

import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;

/**
 * A set of slots of one worker.
 *
 * @param worker the worker
 * @param mask one bit for each slot, the lowest bit for slot 0; never empty
 */
public record WorkerSlots(WorkerId worker, long mask) {
    /** The most slots that a worker can have. */
    public static final int MAX_SLOTS = Long.SIZE;

    /** Checks the fields. */
    public WorkerSlots {
        Objects.requireNonNull(worker);
        if (mask == 0) {
            throw new IllegalArgumentException("slot mask must have at least one bit set");
        }
    }

    /** Returns the number of slots. */
    public int count() {
        return Long.bitCount(mask);
    }
}
