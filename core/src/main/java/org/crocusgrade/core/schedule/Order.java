package org.crocusgrade.core.schedule;

import java.util.Optional;
import org.crocusgrade.core.submission.TaskId;

/** A command to a worker. */
public sealed interface Order {
    WorkerNode worker();

    /** Starts a run. */
    record Start(Placement placement) implements Order {
        @Override
        public WorkerNode worker() {
            return placement.worker();
        }
    }

    /**
     * Sets the CPU share of a run.
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
     * Stops a run, which may not have begun yet: the worker then must not begin it.
     *
     * @param placement the run's placement; empty if this owner does not track the run
     */
    record Stop(WorkerNode worker, TaskId task, long run, Optional<Placement> placement)
            implements Order {}
}
