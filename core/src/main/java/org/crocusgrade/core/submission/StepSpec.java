package org.crocusgrade.core.submission;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One step of a submission: a number of identical tasks.
 *
 * @param tasks the number of tasks
 * @param demand the resources that each task needs
 * @param estimate the caller's rough estimate of the run time of a task
 * @param after indexes of earlier steps whose tasks must all be done first
 * @param gang whether the tasks form a gang: they run only together, and end together
 * @param rackLocal whether the tasks are slow unless they share a rack
 * @param requiredLabel a label that the worker must have
 * @param dataRack the label of the rack that holds the data
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param speculative whether several runs of a task may overlap
 * @param checkpointing whether a task saves its progress
 * @param longRunning whether the tasks run until the submission is cancelled
 * @param image the image that the tasks run, if one is given
 * @param latencyTarget the tail latency that a serving task must stay below
 * @param opportunistic whether the tasks reserve no processors and use only those that other tasks
 *     leave idle
 * @param maxUnavailable how many tasks may be unavailable through planned work; 0 counts as 1
 */
public record StepSpec(
        int tasks,
        Resources demand,
        Duration estimate,
        List<Integer> after,
        boolean gang,
        boolean rackLocal,
        Optional<String> requiredLabel,
        Optional<String> dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean checkpointing,
        boolean longRunning,
        Optional<String> image,
        Optional<Duration> latencyTarget,
        boolean opportunistic,
        int maxUnavailable) {
    /** Copies the list and checks the fields. */
    public StepSpec {
        after = List.copyOf(after);
        Objects.requireNonNull(demand);
        Objects.requireNonNull(estimate);
        Objects.requireNonNull(requiredLabel);
        Objects.requireNonNull(dataRack);
        Objects.requireNonNull(image);
        Objects.requireNonNull(latencyTarget);
        if (tasks <= 0 || maxPerWorker < 0 || maxUnavailable < 0) {
            throw new IllegalArgumentException("a step needs tasks, and limits of 0 or more");
        }
        if (demand.milliCores() < 0 || demand.memoryMb() < 0 || demand.accelerators() < 0) {
            throw new IllegalArgumentException("a task cannot need less than nothing: " + demand);
        }
        if (estimate.isNegative() || latencyTarget.filter(Duration::isNegative).isPresent()) {
            throw new IllegalArgumentException("a run time or a latency target is negative");
        }
    }

    /** Returns what a task reserves of its worker's capacity. */
    public Resources reserved() {
        return opportunistic ? demand.withoutCores() : demand;
    }
}
