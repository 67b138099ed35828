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

/**
 * The orders that a daemon sends to workers to run tasks. Each Uni fails with an {@link
 * OrderException}.
 */
public interface WorkerOrders {
    /** Starts a run. */
    Uni<StartReply> start(Target target, StartRun order);

    /**
     * Stops a run; if it has not started yet, its later start will be refused. Returns the worker's
     * clock.
     */
    Uni<Long> stop(Target target, TaskId task, long run);

    /** Sets the percentage of its processors that a run uses. Returns the worker's clock. */
    Uni<Long> pace(Target target, TaskId task, long run, int percent);

    /**
     * Extends the lease of all runs, acknowledges ended runs, and returns the runs that are active
     * and those that have ended. The worker may delay its answer until a run ends.
     */
    Uni<WorkerReport> poll(Target target, Poll order);

    /**
     * The recipient of an order and the authority of its sender.
     *
     * @param worker the worker
     * @param address where it accepts orders
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
     * @param payload the text of the submission
     * @param leaseUntilMillis when the lease of all runs of the worker ends, on the worker's clock
     * @param checkpoint where to resume; empty to start from the beginning
     * @param ticket the ticket from the advice service, if the queue requires one
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
     * @param outcome the result
     * @param clockMillis the worker's clock, if the answer has it
     */
    record StartReply(StartOutcome outcome, OptionalLong clockMillis) {}

    /** The result of a start order that was answered. */
    enum StartOutcome {
        /** The worker has the run. */
        STARTED,
        /** The worker has received a higher fencing token. */
        FENCED,
        /** The worker has received a later run of the task. */
        SUPERSEDED,
        /** The lease had ended when the order arrived. */
        EXPIRED,
        /** The run does not fit the worker's free resources. */
        NO_ROOM,
        /** The ticket is not valid. */
        NO_TICKET,
        /** The worker is unhealthy or overloaded and did nothing. */
        UNHEALTHY,
        /** The worker could not parse the order. */
        MALFORMED
    }

    /**
     * A poll of a worker, which also renews the lease of all its runs.
     *
     * @param leaseUntilMillis the new end of the lease on the worker's clock; empty to keep the old
     *     one
     * @param ackCursor the sequence number up to which the worker may discard ended runs
     * @param maxWait the longest time that the worker may wait for a run to end before it answers
     */
    record Poll(OptionalLong leaseUntilMillis, long ackCursor, Duration maxWait) {}

    /**
     * A worker's report on its runs.
     *
     * @param clockMillis its clock
     * @param startedEpochMillis when this incarnation of the worker started, in Unix milliseconds
     * @param running the runs in progress
     * @param ends the ended runs that are not acknowledged yet, in the order in which they ended
     * @param allEnds whether {@code ends} is complete; if not, later ones are listed once those are
     *     acknowledged
     */
    record WorkerReport(
            long clockMillis,
            OptionalLong startedEpochMillis,
            List<TaskRun> running,
            List<TaskEnd> ends,
            boolean allEnds) {
        /** Copies the lists. */
        public WorkerReport {
            running = List.copyOf(running);
            ends = List.copyOf(ends);
        }
    }
}
