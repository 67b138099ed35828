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
import org.crocusgrade.standin.worker.WorkerFaults;
import org.crocusgrade.standin.worker.WorkerRuns;

/** The stand-in of one worker, over HTTP as docs/PLATFORM.md says. */
public final class WorkerServer extends HttpStandin {
    /** Header with the time that a request shall run, such as {@code 40ms}. */
    public static final String WORK = "Crocusgrade-Standin-Work";

    /** Header with the caller's own name of the request; the answer follows from it. */
    public static final String NONCE = "Crocusgrade-Standin-Nonce";

    /** Header with the size of the answer wanted, in bytes. */
    public static final String ANSWER_BYTES = "Crocusgrade-Standin-Answer-Bytes";

    /** Header with the status wanted of the answer. */
    public static final String STATUS = "Crocusgrade-Standin-Status";

    private static final String REQUEST = "Crocusgrade-Request";
    private static final int DEFAULT_ANSWER_BYTES = 64;
    private static final long BODY_LIMIT_BYTES = 16 << 20;

    private final WorkerId worker;
    private final Clock clock;
    private final int connections;
    private final WorkerRuns runs;
    private final Set<HttpConnection> open = ConcurrentHashMap.newKeySet();
    private final Map<Long, RoutingContext> contexts = new ConcurrentHashMap<>();
    private final Map<Long, Long> timers = new ConcurrentHashMap<>();
    private volatile WorkerFaults faults = WorkerFaults.NONE;
    private volatile boolean down;
    private Vertx vertx;

    /** Makes a worker with its slots and connections. */
    public WorkerServer(WorkerId worker, Clock clock, int slots, int connections) {
        this.worker = Objects.requireNonNull(worker);
        this.clock = Objects.requireNonNull(clock);
        this.connections = connections;
        this.runs = new WorkerRuns(clock, slots);
    }

    /** Returns the receipts of every request that arrived. */
    public List<Receipt> receipts() {
        return runs.receipts();
    }

    /** Returns how many requests run. */
    public int running() {
        return runs.running();
    }

    /** Sets the faults from now on. */
    public void setFaults(WorkerFaults faults) {
        this.faults = Objects.requireNonNull(faults);
    }

    /** Refuses new work from now on, or takes it again. */
    public void setLeaving(boolean leaving) {
        runs.setLeaving(leaving);
    }

    /** Takes the worker down, cutting what runs, or brings it back. */
    public void setDown(boolean down) {
        this.down = down;
        if (!down) {
            runs.setLeaving(false);
            return;
        }
        for (long run : runs.runs()) {
            finish(run, Ending.CUT);
        }
        open.forEach(HttpConnection::closeAndForget);
    }

    @Override
    void prepare(Vertx vertx, HttpServer server) {
        this.vertx = vertx;
        server.connectionHandler(
                connection -> {
                    open.add(connection);
                    connection.closeHandler(() -> open.remove(connection));
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
        router.route("/run/*").handler(this::refuseEarly);
        router.route("/run/*").handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.route("/run/*").handler(this::run);
        return router;
    }

    private void refuseEarly(RoutingContext context) {
        if (down) {
            context.request().connection().closeAndForget();
            return;
        }
        if (open.size() > connections) {
            Receipt arrived = arrived(context.request());
            runs.refuse(arrived, Ending.REFUSED_CONNECTIONS);
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
        Optional<Long> started = runs.start(arrived(context.request()));
        if (started.isEmpty()) {
            refuse(context, runs.leaving() ? "leaving" : "slots");
            return;
        }
        long run = started.get();
        contexts.put(run, context);
        WorkerFaults now = faults;
        if (now.stall()) {
            return;
        }
        long millis = Math.max(1, work.toMillis() * now.slowdown());
        timers.put(run, vertx.setTimer(millis, id -> complete(run, bytes, now)));
    }

    private void complete(long run, int bytes, WorkerFaults now) {
        RoutingContext context = contexts.get(run);
        if (context == null) {
            return;
        }
        if (context.response().closed()) {
            finish(run, Ending.CONNECTION_LOST);
            return;
        }
        boolean faulted = now.failAll() || now.otherId() || now.cutAnswers();
        if (!finish(run, faulted ? Ending.FAULTED : Ending.COMPLETED)) {
            return;
        }
        HttpServerRequest request = context.request();
        String id = header(request, REQUEST, "");
        context.response().putHeader(REQUEST, now.otherId() ? "other-" + id : id);
        context.response().putHeader(NONCE, header(request, NONCE, ""));
        String status = now.failAll() ? "500" : header(request, STATUS, "200");
        context.response().setStatusCode(Integer.parseInt(status));
        byte[] body = AnswerBody.of(header(request, NONCE, ""), bytes);
        if (!now.cutAnswers()) {
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

    private boolean finish(long run, Ending how) {
        contexts.remove(run);
        Long timer = timers.remove(run);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
        return runs.end(run, how);
    }

    private void cancel(RoutingContext context) {
        int cancelled = 0;
        for (long run : runs.runsOf(context.pathParam("request"))) {
            RoutingContext waiting = contexts.get(run);
            if (finish(run, Ending.CANCELLED)) {
                cancelled++;
                waiting.response().setStatusCode(500).endAndForget("cancelled");
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
        context.endAndForget(new JsonObject().put("running", runs.running()).encode());
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
        String word = context.request().getParam("state");
        String time = context.request().getParam("forMs");
        context.endAndForget();
        switch (word) {
            case "down" -> setDown(true);
            case "leaving" -> setLeaving(true);
            default -> setDown(false);
        }
        long millis = time == null ? 0 : Long.parseLong(time);
        if ("down".equals(word) && millis > 0) {
            vertx.setTimer(millis, id -> setDown(false));
        }
    }

    private Receipt arrived(HttpServerRequest request) {
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

    private static void refuse(RoutingContext context, String why) {
        context.response()
                .putHeader("Crocusgrade-Refused", why)
                .putHeader(REQUEST, header(context.request(), REQUEST, ""))
                .setStatusCode(503)
                .endAndForget();
    }

    private static String header(HttpServerRequest request, String name, String absent) {
        String value = request.getHeader(name);
        return value == null ? absent : value;
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
