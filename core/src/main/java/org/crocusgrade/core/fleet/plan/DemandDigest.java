package org.crocusgrade.core.fleet.plan;

import java.time.Instant;
import java.util.Objects;

/**
 * A pool's demand, summed over the daemons that were heard.
 *
 * @param at the time that it describes; it reaches the planner later
 * @param offeredSlots the slots that arrivals ask for: arrival rate times run time
 * @param queuedSlots the slot-seconds of work that waits
 * @param runningSlots the slots in use
 * @param coverage the share of the daemons that were heard, above 0 and up to 1
 */
public record DemandDigest(
        Instant at, double offeredSlots, double queuedSlots, double runningSlots, double coverage) {
    /** Checks the ranges. */
    public DemandDigest {
        Objects.requireNonNull(at);
        if (!(offeredSlots >= 0) || !(queuedSlots >= 0) || !(runningSlots >= 0)) {
            throw new IllegalArgumentException("demand must not be negative");
        }
        if (!(coverage > 0 && coverage <= 1)) {
            throw new IllegalArgumentException("coverage must be above 0 and at most 1");
        }
    }

    /** Returns the offered slots, scaled up for the daemons that were not heard. */
    public double offeredByAll() {
        return offeredSlots / coverage;
    }

    /** Returns the waiting work in slot-seconds, scaled up for the daemons that were not heard. */
    public double queuedByAll() {
        return queuedSlots / coverage;
    }
}
