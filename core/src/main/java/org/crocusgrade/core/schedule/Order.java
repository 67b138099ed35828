package org.crocusgrade.core.schedule;

import java.util.Optional;
import org.crocusgrade.core.submission.TaskId;

/** What a worker is to be told. */
public sealed interface Order {
    /** Returns the worker. */
    WorkerNode worker();

    /** Start a run. */
    record Start(Placement placement) implements Order {
        @Override
        public WorkerNode worker() {
            return placement.worker();
        }
    }

    /**
     * Set the share of its processors at which a run works.
     *
     * @param percent from 0 to 100
     */
    record Pace(Placement placement, int percent) implements Order {
        @Override
        public WorkerNode worker() {
            return placement.worker();
        }
    }

    /**
     * Stop a run, also one that is not there yet.
     *
     * @param placement the run, unless it is one that this owner does not want to know
     */
    record Stop(WorkerNode worker, TaskId task, long run, Optional<Placement> placement)
            implements Order {}
}
