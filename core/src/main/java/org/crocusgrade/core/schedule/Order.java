package org.crocusgrade.core.schedule;

import java.util.Optional;
import org.crocusgrade.core.submission.TaskId;

/** An order of a pool's owner to a worker. */
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
     * Stops a run; if it has not begun yet, the worker must not begin it later.
     *
     * @param placement the run's placement; empty if this owner does not track the run
     */
    record Stop(
            WorkerNode worker,
            TaskId task,
            long run,
            Optional<Placement> placement,
            StopReason reason)
            implements Order {}
}
