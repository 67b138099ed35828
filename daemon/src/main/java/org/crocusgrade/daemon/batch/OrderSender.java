package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.OptionalLong;
import org.crocusgrade.core.port.WorkerOrders.Poll;
import org.crocusgrade.core.port.WorkerOrders.StartOutcome;
import org.crocusgrade.core.port.WorkerOrders.StartReply;
import org.crocusgrade.core.port.WorkerOrders.StartRun;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.RepeatDelay;
import org.crocusgrade.core.schedule.StartAnswer;
import org.crocusgrade.core.schedule.StopReason;
import org.crocusgrade.daemon.log.Event;

/**
 * Sends the orders of a pool's owner to one incarnation of a worker and reports their answers.
 * Starts and stops whose answers are late are repeated (see {@link RepeatedOrder}).
 */
final class OrderSender {
    /** Delay before a report is requested, which then serves for all stops of that time. */
    private static final long REPORT_DELAY_MILLIS = 20;

    private final BatchRuntime runtime;
    private final WorkerSession session;
    private final RunLease lease;
    private final StartCalls startCalls;
    private final RepeatDelay orderDelay;
    private final WorkerSession.Listener listener;
    private boolean reportRequested;

    OrderSender(
            BatchRuntime runtime,
            WorkerSession session,
            RunLease lease,
            StartCalls startCalls,
            RepeatDelay orderDelay,
            WorkerSession.Listener listener) {
        this.runtime = runtime;
        this.session = session;
        this.lease = lease;
        this.startCalls = startCalls;
        this.orderDelay = orderDelay;
        this.listener = listener;
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
        long sentNanos = runtime.clock().nanoTime();
        runtime.orders()
                .pace(session.target(), placement.task().id(), placement.run(), pace.percent())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        clock -> {
                            lease.onOrderAnswer(clock, sentNanos);
                            listener.onPaceAnswer(pace, true);
                        },
                        f -> listener.onPaceAnswer(pace, false));
    }

    private void sendStart(Placement placement) {
        StartRun order =
                new StartRun(
                        placement.task().id(),
                        placement.run(),
                        placement.task().step().submission().spec().payload(),
                        lease.extend(),
                        placement.checkpoint(),
                        placement.ticket());
        new RepeatedOrder<>(
                        runtime,
                        orderDelay,
                        () -> {
                            lease.recordCall();
                            return runtime.orders().start(session.target(), order);
                        },
                        () -> !session.isClosed() && placement.isStarting(),
                        new RepeatedOrder.Result<StartReply>() {
                            @Override
                            public void onAnswer(StartReply reply, boolean repeated) {
                                onStarted(placement, reply, repeated);
                            }

                            @Override
                            public void onSent(long sentNanos) {
                                startCalls.onSent(placement, sentNanos);
                            }

                            @Override
                            public void onUnanswered() {
                                startCalls.onUnanswered(placement);
                            }

                            @Override
                            public void onSettled() {
                                startCalls.onSettled(placement);
                            }

                            @Override
                            public void onFailure(Throwable failure, boolean mayHaveArrived) {
                                onStartFailure(placement, failure, mayHaveArrived);
                            }
                        })
                .send();
    }

    private void onStarted(Placement placement, StartReply reply, boolean repeated) {
        reply.clockMillis().ifPresent(c -> onClock(placement, c));
        StartAnswer answer =
                switch (reply.outcome()) {
                    case STARTED -> StartAnswer.STARTED;
                    case NO_ROOM -> StartAnswer.NO_ROOM;
                    case NO_TICKET -> StartAnswer.NO_TICKET;
                    case SUPERSEDED -> StartAnswer.SUPERSEDED;
                    default -> StartAnswer.REFUSED;
                };
        boolean fencedOff = reply.outcome() == StartOutcome.FENCED;
        boolean byNextIncarnation = fencedOff && session.isClosed();
        if (byNextIncarnation || repeated && answer != StartAnswer.STARTED && !fencedOff) {
            answer = StartAnswer.UNKNOWN;
        }
        listener.onStartAnswer(session, placement, answer, reply.outcome().name());
        if (fencedOff && !byNextIncarnation) {
            listener.onFencedOff(session);
        }
    }

    private void onClock(Placement placement, long clock) {
        if (lease.onOrderAnswer(clock, placement.orderedNanos())) {
            placement.setAnswered();
        }
    }

    private void onStartFailure(Placement placement, Throwable failure, boolean mayHaveArrived) {
        StartAnswer answer = mayHaveArrived ? StartAnswer.UNKNOWN : StartAnswer.NOT_SENT;
        listener.onStartAnswer(session, placement, answer, String.valueOf(failure.getMessage()));
    }

    /**
     * Requests a report that shows whether a run has begun whose start got no answer. The open poll
     * was sent before the stop, so it proves nothing, and its answer may take as long as it waits.
     */
    private void requestReport() {
        if (reportRequested) {
            return;
        }
        reportRequested = true;
        runtime.after(REPORT_DELAY_MILLIS, this::sendReportRequest);
    }

    private void sendReportRequest() {
        reportRequested = false;
        if (session.isClosed()) {
            return;
        }
        long sentNanos = runtime.clock().nanoTime();
        runtime.orders()
                .poll(session.target(), new Poll(OptionalLong.empty(), 0, Duration.ZERO))
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> session.onExtraReport(sentNanos, r), this::onReportFailure);
    }

    private void onReportFailure(Throwable failure) {
        runtime.log().log(
                Event.REPORT_MISSED, "worker", session.node().id(), "cause", failure.getMessage());
    }

    private void sendStop(Order.Stop stop) {
        long sentNanos = runtime.clock().nanoTime();
        new RepeatedOrder<>(
                        runtime,
                        orderDelay,
                        () -> runtime.orders().stop(session.target(), stop.task(), stop.run()),
                        () -> !session.isClosed(),
                        new RepeatedOrder.Result<Long>() {
                            @Override
                            public void onAnswer(Long clock, boolean repeated) {
                                lease.onOrderAnswer(clock, sentNanos);
                                stop.placement().ifPresent(p -> listener.onStopAnswer(p, true));
                                if (stop.reason() == StopReason.UNANSWERED_START) {
                                    requestReport();
                                }
                            }

                            @Override
                            public void onFailure(Throwable failure, boolean mayHaveArrived) {
                                stop.placement().ifPresent(p -> listener.onStopAnswer(p, false));
                            }
                        })
                .send();
    }
}
