package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.Epoch;

/**
 * Decides which hosts are maintained next. It does no I/O and remembers nothing: what must last is
 * in the record, so a replaced planner goes on where the last one stood.
 */
public interface MaintenancePlanner {
    /**
     * Returns the next record and what follows from it. The record is to be written by
     * compare-and-swap; the decisions hold only once that has succeeded.
     *
     * @param epoch the epoch of the planner's lease, at least the record's
     */
    MaintenanceStep next(MaintenanceView view, WaveRecord record, Epoch epoch);
}
