package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.Epoch;

/**
 * Decides which hosts are maintained next. Implementations do no I/O and keep no state between
 * steps: all lasting state is in the wave record, so a new planner continues where the previous one
 * stopped.
 */
public interface MaintenancePlanner {
    /**
     * Returns the next wave record and the decisions that follow from it. The caller must write the
     * record by compare-and-swap, and may carry out the decisions only after that has succeeded.
     *
     * @param epoch the epoch of the planner's lease; at least that of the record
     * @throws IllegalArgumentException if the record was written at a later epoch
     */
    MaintenanceStep next(MaintenanceView view, WaveRecord record, Epoch epoch);
}
