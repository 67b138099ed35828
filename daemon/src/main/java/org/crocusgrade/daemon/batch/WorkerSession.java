package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.port.WorkerOrders.Poll;
import org.crocusgrade.core.port.WorkerOrders.Target;
import org.crocusgrade.core.port.WorkerOrders.WorkerReport;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.RepeatDelay;
import org.crocusgrade.core.schedule.StartAnswer;
import org.crocusgrade.core.schedule.WorkerNode;
import org.crocusgrade.core.submission.RunId;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * The session of a pool's owner with one incarnation of a worker. It keeps one long poll open,
 * which extends the lease of all runs and returns the ends of runs; a poll whose answer is late is
 * repeated (see {@link RepeatDelay}). Orders go through its {@link OrderSender}.
 */
final class WorkerSession {
    /** How long the worker may delay its answer to a poll until a run ends. */
    static final Duration POLL_WAIT = Duration.ofMillis(1500);

    /** Delay after a poll without an answer, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    /**
     * How long the next poll waits until the listed ends are stored, in milliseconds. A worker
     * answers immediately while it lists ends that are not acknowledged, so polling earlier would
     * be a busy loop.
     */
    private static final long ACK_DELAY_MILLIS = 120;

    /** How long the worker may delay its answer while a long-running task is starting. */
    private static final Duration SETTLING_WAIT = Duration.ofMillis(400);

    /**
     * How long the worker may delay its answer while opportunistic tasks run beside tasks with a
     * latency target. The tail latency that a report contains covers half a second.
     */
    private static final Duration SHARED_WAIT = Duration.ofMillis(500);

    /**
     * Polls in a row without an answer after which the worker is logged as silent; from the first
     * of them on no new run is placed on it.
     */
    private static final int SILENT_AFTER_FAILURES = 1;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchRuntime runtime;
    private final WorkerNode node;
    private final Target target;
    private final Listener listener;
    private boolean registered = true;
    private boolean fenced;
    private boolean formerRunsKnown;
    private boolean closed;
    private final RepeatDelay pollDelay = new RepeatDelay(POLL_WAIT);
    private final RunLease lease;
    private final OptionalLong formerCallNanos;
    private final OrderSender orderSender;
    private Optional<PollRound> round = Optional.empty();
    private long listedEnd;

    /** The runs that the worker's first report lists as active, until all former runs are known. */
    private Set<RunId> firstActive = Set.of();

    /**
     * The number of the last end whose acknowledgement the worker has answered. It is not sent
     * again: a worker born again under the same name counts from 1, and would discard ends that
     * nobody has seen.
     */
    private long acknowledged;

    private int failures;
    private boolean connectionLost;

    /**
     * Creates a session.
     *
     * @param token a fencing token above those of the worker's former incarnations
     * @param formerCallNanos when a call that extends a lease was last sent to one of these
     */
    WorkerSession(
            BatchRuntime runtime,
            WorkerNode node,
            WorkerEntry entry,
            long token,
            OptionalLong formerCallNanos,
            StartCalls startCalls,
            RepeatDelay orderDelay,
            Listener listener) {
        this.runtime = runtime;
        this.node = node;
        this.formerCallNanos = formerCallNanos;
        lease = new RunLease(runtime);
        this.target = new Target(entry.worker(), entry.address(), token);
        this.listener = listener;
        orderSender = new OrderSender(runtime, this, lease, startCalls, orderDelay, listener);
    }

    WorkerNode node() {
        return node;
    }

    Target target() {
        return target;
    }

    /**
     * Returns whether the worker has answered a call with this owner's token, so that its runs are
     * known.
     */
    boolean isFenced() {
        return fenced;
    }

    /**
     * Returns whether all runs that the worker began before its first answer are known. That answer
     * lists those that are active, but of those that have ended only as many as fit a report. A
     * worker lists ends in order, so they are known once it has listed all ends, or one of a run
     * that was still active at the first answer. The latter ends the wait although runs may end
     * faster than their ends are read.
     */
    boolean areFormerRunsKnown() {
        return formerRunsKnown;
    }

    boolean isRegistered() {
        return registered;
    }

    void setRegistered(boolean now) {
        registered = now;
        updateUsable();
    }

    void setDraining(boolean draining) {
        node.setDraining(draining);
    }

    /** Returns the status of the worker for the holder of the fleet duty. */
    WorkerStatusMessage status() {
        return WorkerStatusMessage.newBuilder()
                .setWorker(node.id().value())
                .setFreeMilliCores(
                        (int) Math.max(0, Math.min(Integer.MAX_VALUE, node.free().milliCores())))
                .setRunning(node.placements().size() + node.expectedTasks())
                .setLongRunning(node.longRunning() + node.expectedTasks())
                .setEvacuating(node.isEvacuating())
                .build();
    }

    void start() {
        poll();
    }

    void close() {
        closed = true;
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Returns whether the leases of all runs have certainly ended. A worker that this owner does
     * not reach may be reached by the next one, which extends them, so they count as ended only if
     * there was no other owner before their end.
     */
    boolean areLeasesExpired(DutyView duty) {
        return failures > 0 && lease.isExpired() && duty.wasHeldAt(leasesEndNanos());
    }

    /** Returns when the leases of all runs end at the latest, unless another owner extends them. */
    long leasesEndNanos() {
        return lease.endNanos();
    }

    /**
     * Returns when a call that extends the leases was last sent to an incarnation of the worker, on
     * the monotonic clock.
     */
    OptionalLong lastCallNanos() {
        OptionalLong last = lease.lastCallNanos();
        return last.isPresent() ? last : formerCallNanos;
    }

    /** Polls immediately if the next poll waits only for listed ends to be stored. */
    void onStored() {
        if (round.isEmpty() && failures == 0 && fenced && node.ackCursor() >= listedEnd) {
            poll();
        }
    }

    void send(Order order) {
        orderSender.send(order);
    }

    private void poll() {
        if (closed || round.isPresent()) {
            return;
        }
        PollRound next = new PollRound(runtime.clock().nanoTime());
        round = Optional.of(next);
        next.first = send(next, failures > 0 || !fenced ? Duration.ZERO : pollWait(), false);
        scheduleRepetition(next);
    }

    private Cancellable send(PollRound sent, Duration wait, boolean repeated) {
        boolean mayExtend = failures == 0 && listener.mayExtendLeases();
        OptionalLong until = mayExtend ? lease.extendIfCalibrated() : OptionalLong.empty();
        long requestedNanos = runtime.clock().nanoTime();
        long cursor = nextAck();
        return runtime.orders()
                .poll(target, new Poll(until, cursor, wait))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> onReport(sent, requestedNanos, cursor, r, repeated),
                        f -> onPollFailure(sent, f, repeated));
    }

    /**
     * Returns the number up to which ends are acknowledged by the next poll; 0 for none. While the
     * worker is silent, the poll may reach its next incarnation, which counts ends from 1.
     */
    private long nextAck() {
        long cursor = node.ackCursor();
        return failures == 0 && cursor > acknowledged ? cursor : 0;
    }

    /** Repeats a poll if none of the runs of the worker is seen to end for unusually long. */
    private void scheduleRepetition(PollRound open) {
        if (fenced && failures == 0) {
            listener.nextEnd(this)
                    .flatMap(pollDelay::delay)
                    .ifPresent(d -> runtime.after(d.toMillis(), () -> repeat(open)));
        }
    }

    private void repeat(PollRound open) {
        if (isOpen(open) && node.hasBatchRuns()) {
            send(open, Duration.ZERO, true);
        }
    }

    private boolean isOpen(PollRound asked) {
        return !closed && round.isPresent() && round.get() == asked;
    }

    private Duration pollWait() {
        if (node.hasTaskSettling()) {
            return SETTLING_WAIT;
        }
        return node.isShared() ? SHARED_WAIT : POLL_WAIT;
    }

    /**
     * Processes a report. A repeated poll that shows no new end leaves the first one open: the
     * worker has delayed its answer, as it was asked to.
     */
    private void onReport(
            PollRound asked,
            long requestedNanos,
            long cursor,
            WorkerReport report,
            boolean repeated) {
        if (!isOpen(asked)) {
            return;
        }
        if (isOfOtherIncarnation(report)) {
            round = Optional.empty();
            listener.onOtherIncarnation(this, "another incarnation answers");
            return;
        }
        boolean newEnds = report.ends().stream().anyMatch(e -> e.number() > listedEnd);
        recordAnswer(asked, repeated, newEnds);
        if (failures > 0 && fenced) {
            runtime.log().log(Event.DEPENDENCY_REGAINED, "worker", node.id(), "failures", failures);
        }
        failures = 0;
        connectionLost = false;
        acknowledged = Math.max(acknowledged, cursor);
        lease.onReport(report.clockMillis(), requestedNanos);
        if (!fenced) {
            logFirstReport(report);
        }
        updateFormerRuns(report);
        fenced = true;
        updateUsable();
        listener.onReport(this, requestedNanos, report);
        if (closed) {
            return;
        }
        report.ends().forEach(e -> listedEnd = Math.max(listedEnd, e.number()));
        if (round.isPresent()) {
            scheduleRepetition(asked);
        } else if (node.ackCursor() >= listedEnd) {
            poll();
        } else {
            runtime.after(ACK_DELAY_MILLIS, this::poll);
        }
    }

    private boolean isOfOtherIncarnation(WorkerReport report) {
        long started = node.startedEpochMillis();
        return started > 0 && report.startedEpochMillis().orElse(started) != started;
    }

    /** Processes a report that was requested besides the polls. */
    void onExtraReport(long requestedNanos, WorkerReport report) {
        if (!closed && fenced && failures == 0 && !isOfOtherIncarnation(report)) {
            listener.onReport(this, requestedNanos, report);
        }
    }

    /** Logs how many runs the worker has begun before; none of them was ordered by this session. */
    private void logFirstReport(WorkerReport report) {
        runtime.log().log(
                Event.WORKER_FENCED,
                "worker",
                node.id(),
                "born",
                node.startedEpochMillis(),
                "token",
                target.token(),
                "clock-ms",
                report.clockMillis(),
                "running",
                report.running().size(),
                "ends",
                report.ends().size(),
                "expected",
                node.placements().size());
    }

    private void updateFormerRuns(WorkerReport report) {
        if (formerRunsKnown) {
            return;
        }
        if (!fenced) {
            firstActive =
                    report.running().stream()
                            .map(r -> new RunId(r.task(), r.run()))
                            .collect(Collectors.toUnmodifiableSet());
        }
        formerRunsKnown =
                report.allEnds()
                        || report.ends().stream()
                                .anyMatch(e -> firstActive.contains(new RunId(e.task(), e.run())));
        if (formerRunsKnown) {
            firstActive = Set.of();
        }
    }

    /** Ends the round of polls unless a repetition was in vain, and records the time it took. */
    private void recordAnswer(PollRound asked, boolean repeated, boolean newEnds) {
        if (!repeated) {
            round = Optional.empty();
            if (newEnds) {
                long nanos = runtime.clock().nanoTime() - asked.sentNanos;
                pollDelay.answeredAfter(Duration.ofNanos(nanos));
            }
            return;
        }
        asked.repetitionAnswered = true;
        if (newEnds) {
            round = Optional.empty();
            asked.first.cancel();
            runtime.log().log(
                    Event.POLL_REPEATED,
                    "worker",
                    node.id(),
                    "open-ms",
                    (runtime.clock().nanoTime() - asked.sentNanos) / NANOS_PER_MILLI,
                    "runs",
                    node.placements().size());
        } else {
            pollDelay.repeatedInVain();
        }
    }

    private void onPollFailure(PollRound asked, Throwable failure, boolean repeated) {
        if (!isOpen(asked)) {
            return;
        }
        if (repeated && !isFinal(failure)) {
            scheduleRepetition(asked);
            return;
        }
        round = Optional.empty();
        if (asked.repetitionAnswered && !isFinal(failure)) {
            poll();
            return;
        }
        if (failure instanceof OrderException e) {
            if (e.kind() == OrderException.Kind.FENCED) {
                listener.onFencedOff(this);
                return;
            }
            if (e.kind() == OrderException.Kind.OTHER_INCARNATION) {
                listener.onDead(this, "another worker answers");
                return;
            }
            if (e.isConnectionLost() && !connectionLost) {
                connectionLost = true;
                listener.onConnectionLost(this);
            }
        }
        if (++failures == SILENT_AFTER_FAILURES) {
            runtime.log().log(
                    Event.WORKER_SILENT,
                    "worker",
                    node.id(),
                    "runs",
                    node.placements().size(),
                    "cause",
                    failure.getMessage());
        }
        updateUsable();
        runtime.after(RETRY_MILLIS, this::poll);
    }

    /** Returns whether a failure says more than that one call was not answered. */
    private static boolean isFinal(Throwable failure) {
        return failure instanceof OrderException e
                && (e.kind() == OrderException.Kind.FENCED
                        || e.kind() == OrderException.Kind.OTHER_INCARNATION
                        || e.isConnectionLost());
    }

    private void updateUsable() {
        node.setSilent(failures > 0);
        node.setUsable(registered && fenced && failures == 0 && !closed);
    }

    /** A poll and its repetitions, of which the first answer with new ends counts. */
    private static final class PollRound {
        private final long sentNanos;
        private Cancellable first = () -> {};
        private boolean repetitionAnswered;

        PollRound(long sentNanos) {
            this.sentNanos = sentNanos;
        }
    }

    /** Notified of the answers of the worker. */
    interface Listener {
        /** Returns whether leases may be extended. */
        boolean mayExtendLeases();

        /**
         * Returns the time until the first run of the worker is expected to end; empty if none is.
         */
        Optional<Duration> nextEnd(WorkerSession session);

        /** Called when the worker has listed its runs and their ends. */
        void onReport(WorkerSession session, long requestedNanos, WorkerReport report);

        /**
         * Called when the worker has closed or refused a connection, once until it answers again.
         */
        void onConnectionLost(WorkerSession session);

        /** Called when a start was answered or its call failed. */
        void onStartAnswer(
                WorkerSession session, Placement placement, StartAnswer answer, String detail);

        /** Called when a stop was answered; {@code answered} is false if the call failed. */
        void onStopAnswer(Placement placement, boolean answered);

        /**
         * Called when an order to change the share of a run was answered; {@code answered} is false
         * if the call failed.
         */
        void onPaceAnswer(Order.Pace order, boolean answered);

        /** Called when the worker has rejected a call because it has received a higher token. */
        void onFencedOff(WorkerSession session);

        /** Called when this incarnation of the worker has ended and another has taken its name. */
        void onOtherIncarnation(WorkerSession session, String reason);

        /** Called when this incarnation of the worker has ended. */
        void onDead(WorkerSession session, String reason);
    }
}
