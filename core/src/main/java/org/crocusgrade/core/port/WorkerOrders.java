package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.core.submission.TaskRun;

/** Orders to workers. Each Uni fails with an {@link OrderException}. */
public interface WorkerOrders {
    /** Starts a run. */
    Uni<StartReply> start(Target target, StartRun order);

    /** Stops a run; one that is not there yet will be refused. Returns the worker's clock. */
    Uni<Long> stop(Target target, TaskId task, long run);

    /** Sets the share of its processors at which a run works, in percent. */
    Uni<Long> pace(Target target, TaskId task, long run, int percent);

    /** Extends the lease of all runs, acknowledges ends, and waits for a new end. */
    Uni<WorkerReport> hold(Target target, Hold order);

    /**
     * Whom an order goes to, and by what right.
     *
     * @param worker the worker
     * @param address where it listens
     * @param token the sender's fencing token
     */
    record Target(WorkerId worker, InetSocketAddress address, long token) {
        /** Checks the fields. */
        public Target {
            Objects.requireNonNull(worker);
            Objects.requireNonNull(address);
        }
    }

    /**
     * One run to start.
     *
     * @param payload the submission's text
     * @param leaseUntilMillis when all runs of the worker lapse, on the worker's clock
     * @param checkpoint where to resume; empty to begin anew
     * @param ticket the advice that allows the run, if its queue needs any
     */
    record StartRun(
            TaskId task,
            long run,
            String payload,
            long leaseUntilMillis,
            String checkpoint,
            Optional<String> ticket) {
        /** Checks the fields. */
        public StartRun {
            Objects.requireNonNull(task);
            Objects.requireNonNull(payload);
            Objects.requireNonNull(checkpoint);
            Objects.requireNonNull(ticket);
        }
    }

    /**
     * The worker's answer to a start.
     *
     * @param outcome what became of it
     * @param clockMillis the worker's clock, if it was told
     */
    record StartReply(StartOutcome outcome, OptionalLong clockMillis) {}

    /** What became of a start that was answered. */
    enum StartOutcome {
        /** The run is there. */
        STARTED,
        /** The worker has seen a higher fencing token. */
        FENCED,
        /** The worker knows a later run of the task. */
        SUPERSEDED,
        /** The lease had run out when the order came. */
        EXPIRED,
        /** It does not fit. */
        NO_ROOM,
        /** The ticket does not hold. */
        NO_TICKET,
        /** The worker is not well and did nothing. */
        UNHEALTHY,
        /** The worker could not read it. */
        MALFORMED
    }

    /**
     * One renewal.
     *
     * @param leaseUntilMillis the new end of the lease on the worker's clock; none to leave it
     * @param ackCursor the number up to which ends may be forgotten
     * @param patience how long the worker may wait for an end before it answers
     */
    record Hold(OptionalLong leaseUntilMillis, long ackCursor, Duration patience) {}

    /**
     * What a worker says of its runs.
     *
     * @param clockMillis its clock
     * @param born when this incarnation of it began
     * @param running the runs that go on
     * @param ends the runs that have ended, as far as they are not acknowledged
     */
    record WorkerReport(
            long clockMillis, OptionalLong born, List<TaskRun> running, List<TaskEnd> ends) {
        /** Copies the lists. */
        public WorkerReport {
            running = List.copyOf(running);
            ends = List.copyOf(ends);
        }
    }
}
