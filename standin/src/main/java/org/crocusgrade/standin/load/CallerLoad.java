package org.crocusgrade.standin.load;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.WorkerServer;
import org.crocusgrade.standin.worker.AnswerBody;

/**
 * Sends the drawn requests to the daemons, each when its tick comes, and keeps what the callers
 * were told. A request that may not run twice and whose fate is unknown is sent again once, with
 * its key. A daemon that refuses the connection is passed over for the next, as a balancer does.
 */
public final class CallerLoad {
    private static final int CONNECTIONS_PER_TARGET = 400;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration GRACE = Duration.ofSeconds(2);
    private static final Duration RESUBMIT_AFTER = Duration.ofMillis(200);

    private final Vertx vertx;
    private final Clock clock;
    private final Supplier<List<InetSocketAddress>> targets;
    private final CallPlans plans;
    private final Duration length;
    private final WebClient client;
    private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private long startNanos;
    private long ticks;

    /**
     * Makes a load.
     *
     * @param targets the daemons that the balancer sends to now
     * @param length how long requests are sent
     */
    public CallerLoad(
            Vertx vertx,
            Clock clock,
            Supplier<List<InetSocketAddress>> targets,
            List<QueueLoad> queues,
            PeakSchedule schedule,
            Duration length,
            long seed) {
        this.vertx = Objects.requireNonNull(vertx);
        this.clock = Objects.requireNonNull(clock);
        this.targets = Objects.requireNonNull(targets);
        this.length = Objects.requireNonNull(length);
        this.plans = new CallPlans(queues, schedule, seed);
        WebClientOptions options =
                new WebClientOptions()
                        .setMaxPoolSize(CONNECTIONS_PER_TARGET)
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
        this.client = WebClient.create(vertx, options);
    }

    /** Sends until the length is over; emits once every call has ended. */
    public Uni<List<CallRecord>> run() {
        startNanos = clock.nanoTime();
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                vertx.setPeriodic(
                                        CallPlans.TICK.toMillis(),
                                        timer -> {
                                            sendDue();
                                            if (sending() || pending.get() > 0) {
                                                return;
                                            }
                                            vertx.cancelTimer(timer);
                                            client.close();
                                            emitter.complete(records());
                                        }));
    }

    /** Returns the calls that have ended. */
    public List<CallRecord> records() {
        return List.copyOf(records);
    }

    /** Returns how many calls were sent. */
    public int sent() {
        return sent.get();
    }

    /** Returns how many calls have not ended. */
    public int pending() {
        return pending.get();
    }

    private boolean sending() {
        return CallPlans.TICK.multipliedBy(ticks).compareTo(length) < 0;
    }

    private void sendDue() {
        Duration since = Duration.ofNanos(clock.nanoTime() - startNanos);
        while (sending()) {
            Duration at = CallPlans.TICK.multipliedBy(ticks);
            if (at.compareTo(since) > 0) {
                return;
            }
            ticks++;
            plans.draw(at).forEach(plan -> send(plan, true, 0));
        }
    }

    private void send(CallPlan plan, boolean mayResubmit, int passedOver) {
        List<InetSocketAddress> ready = targets.get();
        int turn = sent.getAndIncrement();
        pending.incrementAndGet();
        Instant start = clock.now();
        if (ready.isEmpty()) {
            end(plan, new InetSocketAddress("127.0.0.1", 0), start, CallRecord.NOT_CONNECTED);
            return;
        }
        InetSocketAddress target = ready.get(turn % ready.size());
        request(plan, target)
                .send()
                .subscribe()
                .with(
                        response -> answered(plan, target, start, response, mayResubmit),
                        e -> failed(plan, target, start, e, mayResubmit, passedOver));
    }

    private HttpRequest<Buffer> request(CallPlan plan, InetSocketAddress target) {
        QueueLoad queue = plan.queue();
        HttpMethod method = plan.idempotent() ? HttpMethod.GET : HttpMethod.POST;
        String path = "/s/" + queue.service() + "/call";
        HttpRequest<Buffer> request =
                client.request(method, target.getPort(), target.getAddress().getHostAddress(), path)
                        .putHeader(WorkerServer.NONCE, plan.nonce())
                        .putHeader(WorkerServer.WORK, plan.work().toMillis() + "ms")
                        .putHeader(WorkerServer.ANSWER_BYTES, Integer.toString(plan.answerBytes()))
                        .putHeader(
                                "Crocusgrade-Timeout-Ms", Long.toString(queue.timeout().toMillis()))
                        .timeout(patience(plan).toMillis());
        if (!plan.idempotent()) {
            request.putHeader("Idempotency-Key", plan.nonce());
        }
        return request;
    }

    private static Duration patience(CallPlan plan) {
        boolean patient = plan.patience().equals(plan.queue().timeout());
        return patient ? plan.patience().plus(GRACE) : plan.patience();
    }

    private void answered(
            CallPlan plan,
            InetSocketAddress target,
            Instant start,
            HttpResponse<Buffer> response,
            boolean mayResubmit) {
        String word = response.getHeader("Crocusgrade-Outcome");
        String reason = response.getHeader("Crocusgrade-Reason");
        Optional<Outcome> told =
                Arrays.stream(Outcome.values()).filter(o -> o.word.equals(word)).findFirst();
        Buffer body = response.body();
        byte[] bytes = body == null ? new byte[0] : body.getBytes();
        boolean whole =
                plan.nonce().equals(response.getHeader(WorkerServer.NONCE))
                        && AnswerBody.matches(bytes, plan.nonce(), plan.answerBytes());
        add(
                new CallRecord(
                        plan.nonce(),
                        plan.queue().service(),
                        target,
                        plan.idempotent(),
                        plan.work(),
                        start,
                        clock.now(),
                        response.statusCode(),
                        told,
                        reason == null ? "" : reason,
                        whole));
        if (told.isEmpty() || told.get() == Outcome.UNKNOWN) {
            resubmit(plan, mayResubmit);
        }
    }

    private void failed(
            CallPlan plan,
            InetSocketAddress target,
            Instant start,
            Throwable failure,
            boolean mayResubmit,
            int passedOver) {
        if (failure instanceof ConnectException) {
            end(plan, target, start, CallRecord.NOT_CONNECTED);
            if (passedOver < targets.get().size()) {
                send(plan, mayResubmit, passedOver + 1);
            }
            return;
        }
        boolean impatient =
                failure instanceof TimeoutException
                        && !plan.patience().equals(plan.queue().timeout());
        end(plan, target, start, impatient ? CallRecord.GIVEN_UP : CallRecord.NO_ANSWER);
        resubmit(plan, mayResubmit && !impatient);
    }

    private void resubmit(CallPlan plan, boolean mayResubmit) {
        if (!mayResubmit || plan.idempotent()) {
            return;
        }
        pending.incrementAndGet();
        vertx.setTimer(
                RESUBMIT_AFTER.toMillis(),
                timer -> {
                    send(plan, false, 0);
                    pending.decrementAndGet();
                });
    }

    private void end(CallPlan plan, InetSocketAddress target, Instant start, String reason) {
        add(
                new CallRecord(
                        plan.nonce(),
                        plan.queue().service(),
                        target,
                        plan.idempotent(),
                        plan.work(),
                        start,
                        clock.now(),
                        0,
                        Optional.empty(),
                        reason,
                        false));
    }

    private void add(CallRecord ended) {
        records.add(ended);
        pending.decrementAndGet();
    }
}
