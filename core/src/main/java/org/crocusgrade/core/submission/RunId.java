package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * One run of a task.
 *
 * @param run the number of the run
 */
public record RunId(TaskId task, long run) {
    /** Checks the fields. */
    public RunId {
        Objects.requireNonNull(task);
    }
}
