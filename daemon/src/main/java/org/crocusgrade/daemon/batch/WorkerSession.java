package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.OptionalLong;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.port.WorkerOrders.Poll;
import org.crocusgrade.core.port.WorkerOrders.StartOutcome;
import org.crocusgrade.core.port.WorkerOrders.StartReply;
import org.crocusgrade.core.port.WorkerOrders.StartRun;
import org.crocusgrade.core.port.WorkerOrders.Target;
import org.crocusgrade.core.port.WorkerOrders.WorkerReport;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.StartAnswer;
import org.crocusgrade.core.schedule.WorkerNode;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * The session of a pool's owner with one incarnation of a worker. It keeps one long poll open,
 * which extends the lease of all runs and returns the ends of runs, and it sends the orders.
 *
 * <p>The clock of the worker is known from its last answer. It may be 2% slow, so a lease that ends
 * at U on a clock that showed C in an answer received at time t has ended at the latest at t + (U -
 * C) / 0.98. When that time has passed without an answer, the worker no longer executes any run.
 */
final class WorkerSession {
    /** How long the worker may delay its answer to a poll until a run ends. */
    static final Duration POLL_WAIT = Duration.ofMillis(1500);

    /**
     * Duration of the lease of runs, in milliseconds: long enough for a takeover while the last
     * poll was open.
     */
    private static final long RUN_LEASE_MILLIS = 4800;

    /** Slowest rate of a worker's clock that the interface of the platform allows. */
    private static final double SLOWEST_CLOCK = 0.98;

    /** Delay after a poll without an answer, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    /**
     * How long the next poll waits until the listed ends are stored, in milliseconds. A worker
     * answers immediately while it lists ends that are not acknowledged, so polling earlier would
     * be a busy loop.
     */
    private static final long ACK_DELAY_MILLIS = 120;

    /**
     * How long the worker may delay its answer while a long-running task has not reached its full
     * share yet.
     */
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
    private boolean closed;
    private boolean polling;
    private long listedEnd;

    /**
     * The number of the last end whose acknowledgement the worker has answered. It is not sent
     * again: a worker born again under the same name counts from 1, and would discard ends that
     * nobody has seen.
     */
    private long acknowledged;

    private int failures;
    private boolean connectionLost;
    private boolean calibrated;
    private long clockMillis;
    private long clockReadNanos;
    private long leaseUntilMillis;

    WorkerSession(
            BatchRuntime runtime,
            WorkerNode node,
            WorkerEntry entry,
            long token,
            Listener listener) {
        this.runtime = runtime;
        this.node = node;
        this.target = new Target(entry.worker(), entry.address(), token);
        this.listener = listener;
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
                .setFreeMilliCores((int) Math.max(0, node.free().milliCores()))
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

    /** Returns whether the leases of all runs have certainly ended. */
    boolean areLeasesExpired() {
        if (!calibrated) {
            return false;
        }
        double left = (leaseUntilMillis - clockMillis) / SLOWEST_CLOCK;
        long end = clockReadNanos + (long) (left * NANOS_PER_MILLI);
        return failures > 0 && runtime.clock().nanoTime() - end > 0;
    }

    /** Polls immediately if the next poll waits only for listed ends to be stored. */
    void onStored() {
        if (!polling && failures == 0 && fenced && node.ackCursor() >= listedEnd) {
            poll();
        }
    }

    void send(Order order) {
        if (order instanceof Order.Start start) {
            sendStart(start.placement());
            return;
        }
        if (order instanceof Order.Pace pace) {
            sendPace(pace);
            return;
        }
        if (order instanceof Order.Stop stop) {
            sendStop(stop);
        }
    }

    private void sendPace(Order.Pace pace) {
        Placement placement = pace.placement();
        runtime.orders()
                .pace(target, placement.task().id(), placement.run(), pace.percent())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        clock -> {
                            calibrate(clock);
                            listener.onPaceAnswer(pace, true);
                        },
                        f -> listener.onPaceAnswer(pace, false));
    }

    private void sendStart(Placement placement) {
        extendTo(leaseEnd());
        StartRun order =
                new StartRun(
                        placement.task().id(),
                        placement.run(),
                        placement.task().step().submission().spec().payload(),
                        leaseUntilMillis,
                        placement.checkpoint(),
                        placement.ticket());
        runtime.orders()
                .start(target, order)
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> onStarted(placement, r), f -> onStartFailure(placement, f));
    }

    private void onStarted(Placement placement, StartReply reply) {
        reply.clockMillis().ifPresent(this::calibrate);
        StartAnswer answer =
                switch (reply.outcome()) {
                    case STARTED -> StartAnswer.STARTED;
                    case NO_ROOM -> StartAnswer.NO_ROOM;
                    case NO_TICKET -> StartAnswer.NO_TICKET;
                    case SUPERSEDED -> StartAnswer.SUPERSEDED;
                    default -> StartAnswer.REFUSED;
                };
        listener.onStartAnswer(this, placement, answer, reply.outcome().name());
        if (reply.outcome() == StartOutcome.FENCED) {
            listener.onFencedOff(this);
        }
    }

    private void onStartFailure(Placement placement, Throwable failure) {
        StartAnswer answer = StartAnswer.UNKNOWN;
        if (failure instanceof OrderException e) {
            boolean neverSent =
                    e.kind() == OrderException.Kind.NOT_SENT
                            || e.kind() == OrderException.Kind.OTHER_INCARNATION;
            answer = neverSent ? StartAnswer.NOT_SENT : StartAnswer.UNKNOWN;
        }
        listener.onStartAnswer(this, placement, answer, String.valueOf(failure.getMessage()));
    }

    private void sendStop(Order.Stop stop) {
        runtime.orders()
                .stop(target, stop.task(), stop.run())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        clock -> {
                            calibrate(clock);
                            stop.placement().ifPresent(p -> listener.onStopAnswer(p, true));
                        },
                        f -> stop.placement().ifPresent(p -> listener.onStopAnswer(p, false)));
    }

    private void poll() {
        if (closed || polling) {
            return;
        }
        polling = true;
        OptionalLong lease = OptionalLong.empty();
        if (calibrated && failures == 0 && listener.mayExtendLeases()) {
            extendTo(leaseEnd());
            lease = OptionalLong.of(leaseUntilMillis);
        }
        Duration wait = failures > 0 || !fenced ? Duration.ZERO : pollWait();
        long requestedNanos = runtime.clock().nanoTime();
        long cursor = node.ackCursor();
        runtime.orders()
                .poll(target, new Poll(lease, cursor > acknowledged ? cursor : 0, wait))
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> onReport(requestedNanos, cursor, r), this::onPollFailure);
    }

    private Duration pollWait() {
        if (node.hasTaskSettling()) {
            return SETTLING_WAIT;
        }
        return node.isShared() ? SHARED_WAIT : POLL_WAIT;
    }

    private void onReport(long requestedNanos, long cursor, WorkerReport report) {
        polling = false;
        if (closed) {
            return;
        }
        boolean otherIncarnation =
                node.startedEpochMillis() > 0
                        && report.startedEpochMillis().isPresent()
                        && report.startedEpochMillis().getAsLong() != node.startedEpochMillis();
        if (otherIncarnation) {
            listener.onOtherIncarnation(this, "another incarnation answers");
            return;
        }
        if (failures > 0 && fenced) {
            runtime.log().log(Event.DEPENDENCY_REGAINED, "worker", node.id(), "failures", failures);
        }
        failures = 0;
        connectionLost = false;
        acknowledged = Math.max(acknowledged, cursor);
        calibrate(report.clockMillis());
        fenced = true;
        updateUsable();
        listener.onReport(this, requestedNanos, report);
        if (closed) {
            return;
        }
        report.ends().forEach(e -> listedEnd = Math.max(listedEnd, e.number()));
        if (node.ackCursor() >= listedEnd) {
            poll();
        } else {
            runtime.after(ACK_DELAY_MILLIS, this::poll);
        }
    }

    private void onPollFailure(Throwable failure) {
        polling = false;
        if (closed) {
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

    private void updateUsable() {
        node.setSilent(failures > 0);
        node.setUsable(registered && fenced && failures == 0 && !closed);
    }

    private void calibrate(long clock) {
        calibrated = true;
        clockMillis = clock;
        clockReadNanos = runtime.clock().nanoTime();
    }

    /**
     * Returns the end of a lease that begins now, on the worker's clock as estimated from its last
     * answer.
     */
    private long leaseEnd() {
        long passed = (runtime.clock().nanoTime() - clockReadNanos) / NANOS_PER_MILLI;
        long most = runtime.limits().maxRunLease().toMillis();
        return clockMillis + passed + Math.min(RUN_LEASE_MILLIS, most);
    }

    private void extendTo(long untilMillis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
    }

    /** Notified of the answers of the worker. */
    interface Listener {
        /** Returns whether leases may be extended. */
        boolean mayExtendLeases();

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
