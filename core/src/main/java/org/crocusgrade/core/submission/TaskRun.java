package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * One run of a task that a worker lists as running.
 *
 * @param task the task
 * @param run the run's number
 * @param checkpoint the last that it saved; empty if nothing
 * @param percent the share of its processors at which it works
 * @param load tail latency in ms of a task that serves, else processors in use in thousandths; 0 if
 *     not told
 */
public record TaskRun(TaskId task, long run, String checkpoint, int percent, long load) {
    /** Checks the fields. */
    public TaskRun {
        Objects.requireNonNull(task);
        Objects.requireNonNull(checkpoint);
    }
}
