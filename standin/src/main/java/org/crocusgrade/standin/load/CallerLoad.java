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
 * Sends generated requests to the daemons, each at its tick, and records the result of every call.
 * A request that is not idempotent and whose outcome is unknown is sent once more, with the same
 * idempotency key, unless its caller abandoned the call. If a daemon refuses the connection, the
 * request goes to the next daemon, as with a load balancer.
 */
public final class CallerLoad {
    private static final int CONNECTIONS_PER_TARGET = 400;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration TIMEOUT_GRACE = Duration.ofSeconds(2);
    private static final Duration RESUBMIT_DELAY = Duration.ofMillis(200);

    private final Vertx vertx;
    private final Clock clock;
    private final Supplier<List<InetSocketAddress>> targets;
    private final CallGenerator generator;
    private final Duration length;
    private final WebClient client;
    private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private long startNanos;
    private long ticks;

    /**
     * Creates a load.
     *
     * @param targets supplies the daemons that calls are distributed over at the moment
     * @param length how long requests are sent
     * @param seed determines the requests that are generated
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
        this.generator = new CallGenerator(queues, schedule, seed);
        WebClientOptions options =
                new WebClientOptions()
                        .setMaxPoolSize(CONNECTIONS_PER_TARGET)
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
        this.client = WebClient.create(vertx, options);
    }

    /** Sends requests for the load's length; emits the records once all calls have ended. */
    public Uni<List<CallRecord>> run() {
        startNanos = clock.nanoTime();
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                vertx.setPeriodic(
                                        CallGenerator.TICK.toMillis(),
                                        timer -> {
                                            sendDue();
                                            if (hasTicksLeft() || pending.get() > 0) {
                                                return;
                                            }
                                            vertx.cancelTimer(timer);
                                            client.close();
                                            emitter.complete(records());
                                        }));
    }

    /** Returns the records of the calls that have ended. */
    public List<CallRecord> records() {
        return List.copyOf(records);
    }

    /** Returns the number of calls sent, resubmissions and calls without connection included. */
    public int sent() {
        return sent.get();
    }

    /** Returns the number of calls that have not ended, scheduled resubmissions included. */
    public int pending() {
        return pending.get();
    }

    private boolean hasTicksLeft() {
        return CallGenerator.TICK.multipliedBy(ticks).compareTo(length) < 0;
    }

    private void sendDue() {
        Duration elapsed = Duration.ofNanos(clock.nanoTime() - startNanos);
        while (hasTicksLeft()) {
            Duration at = CallGenerator.TICK.multipliedBy(ticks);
            if (at.compareTo(elapsed) > 0) {
                return;
            }
            ticks++;
            generator.draw(at).forEach(plan -> send(plan, true, 0));
        }
    }

    private void send(CallPlan plan, boolean mayResubmit, int skippedTargets) {
        List<InetSocketAddress> available = targets.get();
        int sequence = sent.getAndIncrement();
        pending.incrementAndGet();
        Instant start = clock.now();
        if (available.isEmpty()) {
            recordFailure(
                    plan, new InetSocketAddress("127.0.0.1", 0), start, CallRecord.NOT_CONNECTED);
            return;
        }
        InetSocketAddress target = available.get(sequence % available.size());
        request(plan, target)
                .send()
                .subscribe()
                .with(
                        response -> handleResponse(plan, target, start, response, mayResubmit),
                        e -> handleFailure(plan, target, start, e, mayResubmit, skippedTargets));
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
                        .timeout(clientTimeout(plan).toMillis());
        if (!plan.idempotent()) {
            request.putHeader("Idempotency-Key", plan.nonce());
        }
        return request;
    }

    /**
     * Returns the time after which the HTTP client ends a call. A caller that waits for the
     * service's full timeout gets some time more, so that it can receive the daemon's own timeout
     * answer.
     */
    private static Duration clientTimeout(CallPlan plan) {
        boolean waitsFullTimeout = plan.timeout().equals(plan.queue().timeout());
        return waitsFullTimeout ? plan.timeout().plus(TIMEOUT_GRACE) : plan.timeout();
    }

    private void handleResponse(
            CallPlan plan,
            InetSocketAddress target,
            Instant start,
            HttpResponse<Buffer> response,
            boolean mayResubmit) {
        String outcomeName = response.getHeader("Crocusgrade-Outcome");
        String reason = response.getHeader("Crocusgrade-Reason");
        Optional<Outcome> outcome =
                Arrays.stream(Outcome.values()).filter(o -> o.word.equals(outcomeName)).findFirst();
        Buffer body = response.body();
        byte[] bytes = body == null ? new byte[0] : body.getBytes();
        boolean complete =
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
                        outcome,
                        reason == null ? "" : reason,
                        complete));
        if (outcome.isEmpty() || outcome.get() == Outcome.UNKNOWN) {
            resubmit(plan, mayResubmit);
        }
    }

    private void handleFailure(
            CallPlan plan,
            InetSocketAddress target,
            Instant start,
            Throwable failure,
            boolean mayResubmit,
            int skippedTargets) {
        if (failure instanceof ConnectException) {
            recordFailure(plan, target, start, CallRecord.NOT_CONNECTED);
            if (skippedTargets < targets.get().size()) {
                send(plan, mayResubmit, skippedTargets + 1);
            }
            return;
        }
        boolean abandoned =
                failure instanceof TimeoutException
                        && !plan.timeout().equals(plan.queue().timeout());
        recordFailure(plan, target, start, abandoned ? CallRecord.GIVEN_UP : CallRecord.NO_ANSWER);
        resubmit(plan, mayResubmit && !abandoned);
    }

    private void resubmit(CallPlan plan, boolean mayResubmit) {
        if (!mayResubmit || plan.idempotent()) {
            return;
        }
        pending.incrementAndGet();
        vertx.setTimer(
                RESUBMIT_DELAY.toMillis(),
                timer -> {
                    send(plan, false, 0);
                    pending.decrementAndGet();
                });
    }

    private void recordFailure(
            CallPlan plan, InetSocketAddress target, Instant start, String reason) {
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
