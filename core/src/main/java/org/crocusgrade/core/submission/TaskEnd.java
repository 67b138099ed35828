package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * The end of one run of a task, as reported by its worker.
 *
 * @param number the number of the end in this incarnation of the worker, counted from 1
 * @param task the task
 * @param run the number of the run
 * @param result how the run ended
 * @param checkpoint the progress that the run saved; empty if none
 */
public record TaskEnd(long number, TaskId task, long run, Result result, String checkpoint) {
    /** Checks the fields. */
    public TaskEnd {
        Objects.requireNonNull(task);
        Objects.requireNonNull(result);
        Objects.requireNonNull(checkpoint);
    }

    /** How a run ended. */
    public enum Result {
        /** It completed its work. */
        DONE,
        /** It failed, through its own fault or that of the worker. */
        FAILED,
        /** It was stopped by an order. */
        STOPPED,
        /** Its lease expired. */
        LAPSED,
        /** Another member of its gang ended. */
        BROKEN,
        /** The other members of its gang did not start in time. */
        ALONE
    }
}
