package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * The end of one run of a task, as its worker lists it.
 *
 * @param number the end's number in this incarnation of the worker, counted from 1
 * @param task the task
 * @param run the run's number
 * @param how how it ended
 * @param checkpoint what the run saved; empty if nothing
 */
public record TaskEnd(long number, TaskId task, long run, How how, String checkpoint) {
    /** Checks the fields. */
    public TaskEnd {
        Objects.requireNonNull(task);
        Objects.requireNonNull(how);
        Objects.requireNonNull(checkpoint);
    }

    /** How a run ends. */
    public enum How {
        /** It did all its work. */
        DONE,
        /** It failed, by its own fault or the worker's. */
        FAILED,
        /** It was stopped by an order. */
        STOPPED,
        /** Its lease ran out. */
        LAPSED,
        /** Another member of its gang ended. */
        BROKEN,
        /** It waited in vain for the others of its gang. */
        ALONE
    }
}
