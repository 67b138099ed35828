package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Result of one planning step: the wave record to write first, and the decisions to carry out once
 * it is written.
 *
 * @param record the next wave record
 * @param decisions the decisions that follow from the record
 * @param progress the progress of the wave
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
     * Progress of a wave, in numbers of hosts.
     *
     * @param due hosts whose maintenance is due and has not started
     * @param active hosts whose maintenance is in progress
     * @param done hosts whose maintenance is complete
     * @param failed hosts that failed
     * @param overdue hosts whose last maintenance is at least one maintenance interval ago
     * @param remaining estimated time until the wave ends; zero if no host's duration has been
     *     measured
     */
    public record Progress(
            int due, int active, int done, int failed, int overdue, Duration remaining) {}
}
