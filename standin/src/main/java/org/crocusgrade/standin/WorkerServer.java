package org.crocusgrade.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpConnection;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.worker.AnswerBody;
import org.crocusgrade.standin.worker.Receipt;
import org.crocusgrade.standin.worker.Receipt.Ending;
import org.crocusgrade.standin.worker.RequestTracker;
import org.crocusgrade.standin.worker.WorkerFaults;

/** The stand-in for one worker, with the HTTP API of docs/PLATFORM.md. */
public final class WorkerServer extends HttpStandin {
    /** Header with the time for which the request is to run, such as {@code 40ms} or {@code 2s}. */
    public static final String WORK = "Crocusgrade-Standin-Work";

    /** Header with the caller's identifier of the request; it determines the answer's body. */
    public static final String NONCE = "Crocusgrade-Standin-Nonce";

    /** Header with the requested size of the answer, in bytes. */
    public static final String ANSWER_BYTES = "Crocusgrade-Standin-Answer-Bytes";

    /** Header with the requested HTTP status of the answer. */
    public static final String STATUS = "Crocusgrade-Standin-Status";

    private static final String REQUEST = "Crocusgrade-Request";
    private static final int DEFAULT_ANSWER_BYTES = 64;
    private static final long BODY_LIMIT_BYTES = 16 << 20;

    private final WorkerId worker;
    private final Clock clock;
    private final int maxConnections;
    private final RequestTracker tracker;
    private final Set<HttpConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final Map<Long, RoutingContext> contexts = new ConcurrentHashMap<>();
    private final Map<Long, Long> timers = new ConcurrentHashMap<>();
    private volatile WorkerFaults faults = WorkerFaults.NONE;
    private volatile boolean down;
    private Vertx vertx;

    /**
     * Creates a worker.
     *
     * @param slots number of requests that may run at once
     * @param maxConnections number of connections above which requests are refused
     */
    public WorkerServer(WorkerId worker, Clock clock, int slots, int maxConnections) {
        this.worker = Objects.requireNonNull(worker);
        this.clock = Objects.requireNonNull(clock);
        this.maxConnections = maxConnections;
        this.tracker = new RequestTracker(clock, slots);
    }

    /** Returns the receipts of all requests that were started or refused. */
    public List<Receipt> receipts() {
        return tracker.receipts();
    }

    /** Returns the number of requests that run now. */
    public int running() {
        return tracker.running();
    }

    /** Sets the faults of requests that start from now on. */
    public void setFaults(WorkerFaults faults) {
        this.faults = Objects.requireNonNull(faults);
    }

    /** Sets whether new requests are refused because the worker is leaving. */
    public void setLeaving(boolean leaving) {
        tracker.setLeaving(leaving);
    }

    /**
     * Takes the worker down or brings it back. Going down aborts all requests that run and closes
     * all connections; coming back also ends a leaving state.
     */
    public void setDown(boolean down) {
        this.down = down;
        if (!down) {
            tracker.setLeaving(false);
            return;
        }
        for (long run : tracker.runs()) {
            finish(run, Ending.CUT);
        }
        openConnections.forEach(HttpConnection::closeAndForget);
    }

    @Override
    void prepare(Vertx vertx, HttpServer server) {
        this.vertx = vertx;
        server.connectionHandler(
                connection -> {
                    openConnections.add(connection);
                    connection.closeHandler(() -> openConnections.remove(connection));
                });
    }

    @Override
    Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.put("/control/faults").handler(BodyHandler.create(false));
        router.put("/control/faults").handler(this::controlFaults);
        router.put("/control/state").handler(this::controlState);
        router.get("/control/receipts").handler(this::controlReceipts);
        router.get("/control/health").handler(this::health);
        router.delete("/control/run/:request").handler(this::cancel);
        router.route("/run/*").handler(this::admit);
        router.route("/run/*").handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.route("/run/*").handler(this::run);
        return router;
    }

    private void admit(RoutingContext context) {
        if (down) {
            context.request().connection().closeAndForget();
            return;
        }
        if (openConnections.size() > maxConnections) {
            Receipt receipt = newReceipt(context.request());
            tracker.refuse(receipt, Ending.REFUSED_CONNECTIONS);
            refuse(context, "connections");
            return;
        }
        context.next();
    }

    private void run(RoutingContext context) {
        Duration work;
        int bytes;
        try {
            work = durationOf(header(context.request(), WORK, "0ms"));
            bytes = bytesOf(context.request());
        } catch (IllegalArgumentException e) {
            context.response().setStatusCode(400).endAndForget("" + e.getMessage());
            return;
        }
        Optional<Long> started = tracker.start(newReceipt(context.request()));
        if (started.isEmpty()) {
            refuse(context, tracker.leaving() ? "leaving" : "slots");
            return;
        }
        long run = started.get();
        contexts.put(run, context);
        WorkerFaults faultsAtStart = faults;
        if (faultsAtStart.stall()) {
            return;
        }
        long millis = Math.max(1, work.toMillis() * faultsAtStart.slowdown());
        timers.put(run, vertx.setTimer(millis, id -> complete(run, bytes, faultsAtStart)));
    }

    private void complete(long run, int bytes, WorkerFaults faultsAtStart) {
        RoutingContext context = contexts.get(run);
        if (context == null) {
            return;
        }
        if (context.response().closed()) {
            finish(run, Ending.CONNECTION_LOST);
            return;
        }
        boolean faulted =
                faultsAtStart.failAll() || faultsAtStart.otherId() || faultsAtStart.cutAnswers();
        if (!finish(run, faulted ? Ending.FAULTED : Ending.COMPLETED)) {
            return;
        }
        HttpServerRequest request = context.request();
        String id = header(request, REQUEST, "");
        context.response().putHeader(REQUEST, faultsAtStart.otherId() ? "other-" + id : id);
        context.response().putHeader(NONCE, header(request, NONCE, ""));
        String status = faultsAtStart.failAll() ? "500" : header(request, STATUS, "200");
        context.response().setStatusCode(Integer.parseInt(status));
        byte[] body = AnswerBody.of(header(request, NONCE, ""), bytes);
        if (!faultsAtStart.cutAnswers()) {
            context.response().end(Buffer.buffer(body)).subscribe().with(v -> {}, e -> {});
            return;
        }
        context.response().putHeader("Content-Length", Integer.toString(bytes));
        context.response()
                .write(Buffer.buffer(body).slice(0, bytes / 2))
                .subscribe()
                .with(
                        v -> request.connection().closeAndForget(),
                        e -> request.connection().closeAndForget());
    }

    private boolean finish(long run, Ending ending) {
        contexts.remove(run);
        Long timer = timers.remove(run);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
        return tracker.end(run, ending);
    }

    private void cancel(RoutingContext context) {
        int cancelled = 0;
        for (long run : tracker.runsOf(context.pathParam("request"))) {
            RoutingContext cancelledContext = contexts.get(run);
            if (finish(run, Ending.CANCELLED)) {
                cancelled++;
                cancelledContext.response().setStatusCode(500).endAndForget("cancelled");
            }
        }
        context.response().setStatusCode(cancelled > 0 ? 200 : 404).endAndForget();
    }

    private void health(RoutingContext context) {
        if (down) {
            context.request().connection().closeAndForget();
            return;
        }
        context.response().putHeader("Content-Type", "application/json");
        context.endAndForget(new JsonObject().put("running", tracker.running()).encode());
    }

    private void controlReceipts(RoutingContext context) {
        JsonArray array = new JsonArray();
        receipts().forEach(receipt -> array.add(receipt.toJson()));
        context.response().putHeader("Content-Type", "application/json");
        context.endAndForget(array.encode());
    }

    private void controlFaults(RoutingContext context) {
        setFaults(WorkerFaults.fromJson(context.body().asJsonObject()));
        context.endAndForget();
    }

    private void controlState(RoutingContext context) {
        String state = context.request().getParam("state");
        String time = context.request().getParam("forMs");
        context.endAndForget();
        switch (state) {
            case "down" -> setDown(true);
            case "leaving" -> setLeaving(true);
            default -> setDown(false);
        }
        long millis = time == null ? 0 : Long.parseLong(time);
        if ("down".equals(state) && millis > 0) {
            vertx.setTimer(millis, id -> setDown(false));
        }
    }

    private Receipt newReceipt(HttpServerRequest request) {
        Instant now = clock.now();
        return new Receipt(
                worker.value(),
                header(request, REQUEST, ""),
                header(request, NONCE, ""),
                header(request, "Idempotency-Key", ""),
                header(request, "Crocusgrade-Service", ""),
                header(request, "Crocusgrade-Pool", ""),
                request.method().name(),
                now,
                now,
                Ending.RUNNING);
    }

    private static void refuse(RoutingContext context, String reason) {
        context.response()
                .putHeader("Crocusgrade-Refused", reason)
                .putHeader(REQUEST, header(context.request(), REQUEST, ""))
                .setStatusCode(503)
                .endAndForget();
    }

    private static String header(HttpServerRequest request, String name, String defaultValue) {
        String value = request.getHeader(name);
        return value == null ? defaultValue : value;
    }

    private static int bytesOf(HttpServerRequest request) {
        String text = header(request, ANSWER_BYTES, Integer.toString(DEFAULT_ANSWER_BYTES));
        int bytes = Integer.parseInt(text);
        if (bytes < 0 || bytes > AnswerBody.MAX_BYTES) {
            throw new IllegalArgumentException("answer size is out of range");
        }
        return bytes;
    }

    private static Duration durationOf(String text) {
        if (text.endsWith("ms")) {
            return Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - 2)));
        }
        if (text.endsWith("s")) {
            return Duration.ofSeconds(Long.parseLong(text.substring(0, text.length() - 1)));
        }
        throw new IllegalArgumentException("duration must be like 40ms or 2s");
    }
}
