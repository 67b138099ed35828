package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * One run of a task that a worker reports as running.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the last progress that the run saved; empty if none
 * @param percent the CPU share at which it runs
 * @param load tail latency in ms for a serving task, else processors in use in thousandths of a
 *     core; 0 if not reported
 */
public record TaskRun(TaskId task, long run, String checkpoint, int percent, long load) {
    /** Checks the fields. */
    public TaskRun {
        Objects.requireNonNull(task);
        Objects.requireNonNull(checkpoint);
    }
}
