package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The outcome of one look at the hosts: the record to write first, and what to do once it is
 * written.
 *
 * @param record the next record
 * @param decisions what follows from it
 * @param progress where the wave stands
 */
public record MaintenanceStep(
        WaveRecord record, List<MaintenanceDecision> decisions, Progress progress) {
    /** Copies the list. */
    public MaintenanceStep {
        Objects.requireNonNull(record);
        Objects.requireNonNull(progress);
        decisions = List.copyOf(decisions);
    }

    /**
     * Where a wave stands.
     *
     * @param due hosts that are still to be taken
     * @param active hosts that are being maintained
     * @param done hosts that are done
     * @param failed hosts that failed
     * @param overdue hosts that were not maintained within their stated time
     * @param left the estimated time to the wave's end; zero if there is nothing to estimate from
     */
    public record Progress(int due, int active, int done, int failed, int overdue, Duration left) {}
}
