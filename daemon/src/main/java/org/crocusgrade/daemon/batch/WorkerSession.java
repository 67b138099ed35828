package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.OptionalLong;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.port.WorkerOrders.Hold;
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
 * An owner's dealings with one incarnation of a worker: it keeps one waiting call open that extends
 * the lease of all runs and brings their ends, and sends the orders.
 *
 * <p>The worker's clock is known from its last answer. It may be 2% slow, so a lease that ends at U
 * on a clock that showed C in an answer received at time t has ended at the latest at t + (U - C) /
 * 0.98. When that has passed without an answer, nothing runs there any more.
 */
final class WorkerSession {
    /** How long an answer to a waiting call may wait for an end. */
    static final Duration HOLD_WAIT = Duration.ofMillis(1500);

    /** The lease of runs: long enough for a take-over while the last waiting call was out. */
    private static final long RUN_LEASE_MILLIS = 4800;

    /** The slowest rate of a worker's clock, from the platform's interface. */
    private static final double SLOWEST_CLOCK = 0.98;

    /** The pause after a call without an answer, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    /**
     * How long the next call waits for ends to be stored that the worker lists, in milliseconds: a
     * worker answers at once while it lists ends that are not acknowledged.
     */
    private static final long ACK_PATIENCE_MILLIS = 120;

    /** How long an answer waits while a long-running task is not yet at work. */
    private static final Duration SETTLING_WAIT = Duration.ofMillis(400);

    /** How long an answer waits while tails are to be watched, which cover half a second. */
    private static final Duration SHARED_WAIT = Duration.ofMillis(500);

    /** Calls without an answer after which no new run is placed. */
    private static final int SILENT_CALLS = 1;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Runtime runtime;
    private final WorkerNode node;
    private final Target target;
    private final Listener listener;
    private boolean registered = true;
    private boolean fenced;
    private boolean closed;
    private boolean holding;
    private long listedEnd;
    private int failures;
    private boolean calibrated;
    private long clockMillis;
    private long clockNanos;
    private long leaseUntilMillis;

    WorkerSession(
            Runtime runtime, WorkerNode node, WorkerEntry entry, long token, Listener listener) {
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

    /** Returns whether the worker has seen this owner's token, and its runs are known. */
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

    /** Returns what the holder of the fleet's duty needs to know of the worker. */
    WorkerStatusMessage status() {
        return WorkerStatusMessage.newBuilder()
                .setWorker(node.id().value())
                .setFreeMilliCores((int) Math.max(0, node.free().milliCores()))
                .setRunning(node.placements().size())
                .setLongRunning(node.longRunning())
                .setEvacuating(node.isEvacuating())
                .build();
    }

    void start() {
        hold();
    }

    void close() {
        closed = true;
    }

    /** Returns whether the leases of all runs have surely ended. */
    boolean hasLapsed() {
        if (!calibrated) {
            return false;
        }
        double left = (leaseUntilMillis - clockMillis) / SLOWEST_CLOCK;
        long end = clockNanos + (long) (left * NANOS_PER_MILLI);
        return failures > 0 && runtime.clock().nanoTime() - end > 0;
    }

    /** Sends the next waiting call now if it waits only for ends to be stored. */
    void onStored() {
        if (!holding && failures == 0 && fenced && node.ackCursor() >= listedEnd) {
            hold();
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
            boolean never =
                    e.kind() == OrderException.Kind.NOT_SENT
                            || e.kind() == OrderException.Kind.OTHER_INCARNATION;
            answer = never ? StartAnswer.NOT_SENT : StartAnswer.UNKNOWN;
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

    private void hold() {
        if (closed || holding) {
            return;
        }
        holding = true;
        OptionalLong lease = OptionalLong.empty();
        if (calibrated && failures == 0 && listener.mayExtend()) {
            extendTo(leaseEnd());
            lease = OptionalLong.of(leaseUntilMillis);
        }
        Duration wait = failures > 0 || !fenced ? Duration.ZERO : patience();
        long asked = runtime.clock().nanoTime();
        runtime.orders()
                .hold(target, new Hold(lease, node.ackCursor(), wait))
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> onReport(asked, r), this::onHoldFailure);
    }

    private Duration patience() {
        if (node.hasTaskSettling()) {
            return SETTLING_WAIT;
        }
        return node.isShared() ? SHARED_WAIT : HOLD_WAIT;
    }

    private void onReport(long asked, WorkerReport report) {
        holding = false;
        if (closed) {
            return;
        }
        boolean otherLife =
                node.born() > 0
                        && report.born().isPresent()
                        && report.born().getAsLong() != node.born();
        if (otherLife) {
            listener.onOtherIncarnation(this, "another incarnation answers");
            return;
        }
        if (failures > 0 && fenced) {
            runtime.log().log(Event.DEPENDENCY_REGAINED, "worker", node.id(), "failures", failures);
        }
        failures = 0;
        calibrate(report.clockMillis());
        fenced = true;
        updateUsable();
        listener.onReport(this, asked, report);
        if (closed) {
            return;
        }
        report.ends().forEach(e -> listedEnd = Math.max(listedEnd, e.number()));
        if (node.ackCursor() >= listedEnd) {
            hold();
        } else {
            runtime.after(ACK_PATIENCE_MILLIS, this::hold);
        }
    }

    private void onHoldFailure(Throwable failure) {
        holding = false;
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
        }
        if (++failures == SILENT_CALLS) {
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
        runtime.after(RETRY_MILLIS, this::hold);
    }

    private void updateUsable() {
        node.setSilent(failures > 0);
        node.setUsable(registered && fenced && failures == 0 && !closed);
    }

    private void calibrate(long clock) {
        calibrated = true;
        clockMillis = clock;
        clockNanos = runtime.clock().nanoTime();
    }

    /** Returns the end of a lease that begins now, on the worker's clock as far as it is known. */
    private long leaseEnd() {
        long passed = (runtime.clock().nanoTime() - clockNanos) / NANOS_PER_MILLI;
        long most = runtime.limits().maxRunLease().toMillis();
        return clockMillis + passed + Math.min(RUN_LEASE_MILLIS, most);
    }

    private void extendTo(long untilMillis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
    }

    /** Gets what the worker says. */
    interface Listener {
        /** Returns whether leases may be extended. */
        boolean mayExtend();

        /** The worker lists its runs and ends. */
        void onReport(WorkerSession session, long askedNanos, WorkerReport report);

        /** A start was answered, or never will be. */
        void onStartAnswer(
                WorkerSession session, Placement placement, StartAnswer answer, String detail);

        /** A stop was answered, or never will be. */
        void onStopAnswer(Placement placement, boolean answered);

        /** An order to work at a share was answered, or never will be. */
        void onPaceAnswer(Order.Pace order, boolean answered);

        /** The worker has seen a higher token than this owner's. */
        void onFencedOff(WorkerSession session);

        /** This incarnation of the worker is over, and another has its name. */
        void onOtherIncarnation(WorkerSession session, String reason);

        /** This incarnation of the worker is over. */
        void onDead(WorkerSession session, String reason);
    }
}
