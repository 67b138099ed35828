package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.port.OrderException.Kind;
import org.crocusgrade.core.port.WorkerOrders;
import org.crocusgrade.core.submission.TaskId;

/**
 * Sends the orders of one daemon to the simulated workers; answers may be lost and orders delayed.
 */
final class SimOrders implements WorkerOrders {
    private static final long LATENCY_MILLIS = 2;
    private static final long TIMEOUT_MILLIS = 800;

    private final SimTime time;
    private final Random random;
    private final Map<WorkerId, SimWorker> workers;
    private final Set<WorkerId> cut = new HashSet<>();
    private double lateShare;
    private boolean inTransit;
    private OptionalLong retransmissionMillis = OptionalLong.empty();
    private boolean losingStartAnswers;
    private final Set<String> startedOnce = new HashSet<>();
    private OptionalLong lateMillis = OptionalLong.empty();
    private Optional<SimLoop> loop = Optional.empty();
    private long passNanos;

    SimOrders(SimTime time, Random random, Map<WorkerId, SimWorker> workers) {
        this.time = time;
        this.random = random;
        this.workers = workers;
    }

    /** Sets the workers that this daemon does not reach; nothing of either arrives. */
    void setCut(Set<WorkerId> unreachable) {
        cut.clear();
        cut.addAll(unreachable);
    }

    /** Sets the share of orders that get no answer and are executed 2 to 12 s later. */
    void setLateShare(double share) {
        lateShare = share;
    }

    /** Lets late orders reach the next incarnation of their worker. */
    void setLateInTransit() {
        inTransit = true;
    }

    /** Sets when late orders are executed, in milliseconds after they were sent. */
    void setLateMillis(long millis) {
        lateMillis = OptionalLong.of(millis);
    }

    /**
     * Sets whether the answer to the first call of a start is lost; a repetition is executed late.
     */
    void setLosingStartAnswers(boolean now) {
        losingStartAnswers = now;
    }

    private Uni<StartReply> startWithoutAnswer(Target target, StartRun order) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            SimWorker worker = workers.get(target.worker());
                            boolean first = startedOnce.add(order.task() + "/" + order.run());
                            time.afterMillis(
                                    first ? LATENCY_MILLIS : lateMillis.orElseThrow(),
                                    () -> {
                                        if (!worker.isDown()) {
                                            worker.start(order, target.token());
                                        }
                                    });
                            time.afterMillis(
                                    TIMEOUT_MILLIS,
                                    () -> e.fail(new OrderException(Kind.NO_ANSWER, "silent")));
                        });
    }

    /**
     * Delivers calls to a worker that is down once it is back, if their time-out has not passed: a
     * connection is requested again until then.
     *
     * @param millis the interval between two requests
     */
    void setRetransmitting(long millis) {
        retransmissionMillis = OptionalLong.of(millis);
    }

    /**
     * Lets each call use processor time of the loop of its sender: once to connect, once to send
     * and once to read the answer. The time-out of a call does not wait for these.
     */
    void setCost(SimLoop sender, Duration pass) {
        loop = Optional.of(sender);
        passNanos = pass.toNanos();
    }

    @Override
    public Uni<StartReply> start(Target target, StartRun order) {
        if (losingStartAnswers && !cut.contains(target.worker())) {
            return startWithoutAnswer(target, order);
        }
        return withTimeout(
                send(
                        target,
                        TIMEOUT_MILLIS,
                        (worker, e) -> {
                            StartOutcome outcome = worker.start(order, target.token());
                            OptionalLong clock = OptionalLong.of(worker.clock());
                            answerLater(() -> e.complete(new StartReply(outcome, clock)));
                        }));
    }

    @Override
    public Uni<Long> stop(Target target, TaskId task, long run) {
        return withTimeout(
                send(
                        target,
                        TIMEOUT_MILLIS,
                        (worker, e) -> {
                            boolean done = worker.stop(task, run, target.token());
                            long clock = worker.clock();
                            answerLater(
                                    () -> {
                                        if (done) {
                                            e.complete(clock);
                                        } else {
                                            e.fail(new OrderException(Kind.FENCED, "fenced"));
                                        }
                                    });
                        }));
    }

    @Override
    public Uni<Long> pace(Target target, TaskId task, long run, int percent) {
        return Uni.createFrom().item(0L);
    }

    @Override
    public Uni<WorkerReport> poll(Target target, Poll order) {
        return send(
                target,
                order.maxWait().toMillis() + TIMEOUT_MILLIS,
                (worker, e) -> {
                    if (!worker.poll(target.token(), order.ackCursor(), order.leaseUntilMillis())) {
                        answerLater(() -> e.fail(new OrderException(Kind.FENCED, "fenced")));
                        return;
                    }
                    boolean[] answered = {false};
                    Runnable answer =
                            () -> {
                                if (!answered[0]) {
                                    answered[0] = true;
                                    WorkerReport report = worker.report();
                                    if (!worker.isUnresponsive() && !cut.contains(worker.id)) {
                                        answerLater(() -> e.complete(report));
                                    }
                                }
                            };
                    if (order.maxWait().isZero()) {
                        answer.run();
                    } else {
                        worker.onEnd(answer);
                        time.afterMillis(order.maxWait().toMillis(), answer);
                    }
                    worker.onConnectionClosed(() -> e.fail(lost(Kind.NO_ANSWER)));
                    time.afterMillis(
                            order.maxWait().toMillis() + TIMEOUT_MILLIS,
                            () -> e.fail(new OrderException(Kind.NO_ANSWER, "silent")));
                });
    }

    private <T> Uni<T> send(Target target, long timeoutMillis, OrderAction<T> action) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            if (loop.isEmpty()) {
                                send(target, timeoutMillis, action, e);
                                return;
                            }
                            SimLoop sender = loop.get();
                            sender.execute(
                                    () ->
                                            sender.execute(
                                                    () -> send(target, timeoutMillis, action, e),
                                                    passNanos),
                                    passNanos);
                        });
    }

    /** Starts the time-out of an order whose answer may wait for the loop of its sender. */
    private <T> Uni<T> withTimeout(Uni<T> call) {
        if (loop.isEmpty()) {
            return call;
        }
        return Uni.createFrom()
                .emitter(
                        e -> {
                            time.afterMillis(
                                    TIMEOUT_MILLIS,
                                    () -> e.fail(new OrderException(Kind.NO_ANSWER, "slow")));
                            call.subscribe().with(e::complete, e::fail);
                        });
    }

    private <T> void send(
            Target target,
            long timeoutMillis,
            OrderAction<T> action,
            UniEmitter<? super T> emitter) {
        SimWorker worker = workers.get(target.worker());
        Consumer<Kind> fail =
                kind ->
                        time.afterMillis(
                                timeoutMillis,
                                () -> emitter.fail(new OrderException(kind, "silent")));
        if (worker == null || cut.contains(worker.id)) {
            fail.accept(Kind.NOT_SENT);
            return;
        }
        if (random.nextDouble() < lateShare) {
            // The order is delayed by the worker, so that it is lost if the worker restarts, unless
            // it
            // is in transit.
            fail.accept(Kind.NO_ANSWER);
            int incarnation = worker.incarnation();
            time.afterMillis(
                    lateMillis.orElseGet(() -> 2000 + random.nextInt(10_000)),
                    () -> {
                        boolean reaches = inTransit || worker.incarnation() == incarnation;
                        if (reaches && !worker.isDown()) {
                            action.execute(worker, new DiscardingEmitter<>(emitter).emitter());
                        }
                    });
            return;
        }
        time.afterMillis(
                LATENCY_MILLIS,
                () -> {
                    if (worker.isRefusing()) {
                        answerLater(() -> emitter.fail(lost(Kind.NOT_SENT)));
                    } else if (worker.isUnresponsive()) {
                        fail.accept(Kind.NO_ANSWER);
                        retransmissionMillis.ifPresent(
                                m -> retransmit(worker, m, timeoutMillis, action, emitter));
                    } else {
                        action.execute(worker, emitter);
                    }
                });
    }

    private <T> void retransmit(
            SimWorker worker,
            long interval,
            long millisLeft,
            OrderAction<T> action,
            UniEmitter<? super T> emitter) {
        if (millisLeft < interval) {
            return;
        }
        time.afterMillis(
                interval,
                () -> {
                    if (cut.contains(worker.id)) {
                        return;
                    }
                    if (worker.isDown()) {
                        retransmit(worker, interval, millisLeft - interval, action, emitter);
                    } else if (!worker.isUnresponsive()) {
                        action.execute(worker, emitter);
                    }
                });
    }

    private static OrderException lost(Kind kind) {
        return new OrderException(kind, "connection lost", true);
    }

    private void answerLater(Runnable answer) {
        time.afterMillis(
                LATENCY_MILLIS,
                () -> loop.ifPresentOrElse(sender -> sender.execute(answer, passNanos), answer));
    }

    @FunctionalInterface
    private interface OrderAction<T> {
        void execute(SimWorker worker, UniEmitter<? super T> emitter);
    }

    /** Discards the answer to a delayed order. */
    private record DiscardingEmitter<T>(UniEmitter<? super T> lost) {
        UniEmitter<? super T> emitter() {
            return new UniEmitter<T>() {
                @Override
                public void complete(T item) {
                    // The caller has timed out.
                }

                @Override
                public void fail(Throwable failure) {
                    // The caller has timed out.
                }

                @Override
                public UniEmitter<T> onTermination(Runnable callback) {
                    return this;
                }
            };
        }
    }
}
