package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.port.OrderException.Kind;
import org.crocusgrade.core.port.WorkerOrders;
import org.crocusgrade.core.submission.TaskId;

/** One daemon's way to the simulated workers; answers may be lost and orders come late. */
final class SimOrders implements WorkerOrders {
    private static final long WAY_MILLIS = 2;
    private static final long TIMEOUT_MILLIS = 800;

    private final SimTime time;
    private final Random random;
    private final Map<WorkerId, SimWorker> workers;
    private double lateShare;

    SimOrders(SimTime time, Random random, Map<WorkerId, SimWorker> workers) {
        this.time = time;
        this.random = random;
        this.workers = workers;
    }

    /** Sets the share of orders that get no answer and are carried out 2 to 12 s later. */
    void setLateShare(double share) {
        lateShare = share;
    }

    @Override
    public Uni<StartReply> start(Target target, StartRun order) {
        return send(
                target,
                (worker, e) -> {
                    StartOutcome outcome = worker.start(order, target.token());
                    OptionalLong clock = OptionalLong.of(worker.clock());
                    back(() -> e.complete(new StartReply(outcome, clock)));
                });
    }

    @Override
    public Uni<Long> stop(Target target, TaskId task, long run) {
        return send(
                target,
                (worker, e) -> {
                    boolean done = worker.stop(task, run, target.token());
                    long clock = worker.clock();
                    back(
                            () -> {
                                if (done) {
                                    e.complete(clock);
                                } else {
                                    e.fail(new OrderException(Kind.FENCED, "fenced"));
                                }
                            });
                });
    }

    @Override
    public Uni<Long> pace(Target target, TaskId task, long run, int percent) {
        return Uni.createFrom().item(0L);
    }

    @Override
    public Uni<WorkerReport> hold(Target target, Hold order) {
        return send(
                target,
                (worker, e) -> {
                    if (!worker.hold(target.token(), order.ackCursor(), order.leaseUntilMillis())) {
                        back(() -> e.fail(new OrderException(Kind.FENCED, "fenced")));
                        return;
                    }
                    boolean[] answered = {false};
                    Runnable answer =
                            () -> {
                                if (!answered[0]) {
                                    answered[0] = true;
                                    WorkerReport report = worker.report();
                                    if (!worker.isDark()) {
                                        back(() -> e.complete(report));
                                    }
                                }
                            };
                    if (order.patience().isZero()) {
                        answer.run();
                    } else {
                        worker.onEnd(answer);
                        time.afterMillis(order.patience().toMillis(), answer);
                    }
                    time.afterMillis(
                            order.patience().toMillis() + TIMEOUT_MILLIS,
                            () -> e.fail(new OrderException(Kind.NO_ANSWER, "silent")));
                });
    }

    private <T> Uni<T> send(Target target, Carry<T> carry) {
        return Uni.createFrom().emitter(e -> send(target, carry, e));
    }

    private <T> void send(Target target, Carry<T> carry, UniEmitter<? super T> emitter) {
        SimWorker worker = workers.get(target.worker());
        Consumer<Kind> fail =
                kind ->
                        time.afterMillis(
                                TIMEOUT_MILLIS,
                                () -> emitter.fail(new OrderException(kind, "silent")));
        if (worker == null) {
            fail.accept(Kind.NOT_SENT);
            return;
        }
        if (random.nextDouble() < lateShare) {
            // The worker has the order and takes its time, so it does not outlive the worker.
            fail.accept(Kind.NO_ANSWER);
            int life = worker.life();
            time.afterMillis(
                    2000 + random.nextInt(10_000),
                    () -> {
                        if (worker.life() == life && !worker.isDown()) {
                            carry.carry(worker, new Mute<>(emitter).emitter());
                        }
                    });
            return;
        }
        time.afterMillis(
                WAY_MILLIS,
                () -> {
                    if (worker.isDark()) {
                        fail.accept(Kind.NO_ANSWER);
                    } else {
                        carry.carry(worker, emitter);
                    }
                });
    }

    private void back(Runnable answer) {
        time.afterMillis(WAY_MILLIS, answer);
    }

    @FunctionalInterface
    private interface Carry<T> {
        void carry(SimWorker worker, UniEmitter<? super T> emitter);
    }

    /** Swallows the answer to an order that comes late. */
    private record Mute<T>(UniEmitter<? super T> lost) {
        UniEmitter<? super T> emitter() {
            return new UniEmitter<T>() {
                @Override
                public void complete(T item) {
                    // Nobody waits for it any more.
                }

                @Override
                public void fail(Throwable failure) {
                    // Nobody waits for it any more.
                }

                @Override
                public UniEmitter<T> onTermination(Runnable callback) {
                    return this;
                }
            };
        }
    }
}
