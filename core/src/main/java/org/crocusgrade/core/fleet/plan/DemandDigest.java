package org.crocusgrade.core.fleet.plan;

import java.time.Instant;
import java.util.Objects;

/**
 * A pool's demand, summed over the daemons whose reports are recent.
 *
 * @param at the time that it describes, which is earlier than the time at which the planner sees it
 * @param offeredSlots the slots needed to serve the arrivals: arrival rate times run time
 * @param queuedSlots the work that is queued, in slot-seconds
 * @param runningSlots the slots in use
 * @param coverage the share of the daemons whose reports are included, above 0 and up to 1
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

    /** Returns the offered slots, scaled up by the coverage to estimate those of all daemons. */
    public double offeredByAll() {
        return offeredSlots / coverage;
    }

    /**
     * Returns the queued work in slot-seconds, scaled up by the coverage to estimate that of all
     * daemons.
     */
    public double queuedByAll() {
        return queuedSlots / coverage;
    }
}
