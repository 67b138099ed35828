package org.crocusgrade.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.WebClient;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.hosts.HostFaults;
import org.crocusgrade.standin.hosts.HostJson;
import org.crocusgrade.standin.hosts.HostListState;

/**
 * The stand-in for the platform's host list, which lags behind the hosts, and for its reboots. A
 * reboot takes the stand-in worker down through the worker's control endpoint, which aborts all
 * requests that still run there.
 */
public final class HostListServer extends HttpStandin {
    private static final Duration WORKER_TIMEOUT = Duration.ofSeconds(2);

    private final HostListState state;
    private final Duration rebootTime;
    private volatile HostFaults faults;
    private Vertx vertx;
    private WebClient client;

    /**
     * Creates a server.
     *
     * @param hosts the initial hosts
     * @param lag age of the list that readers get
     * @param rebootTime how long a worker is down for a reboot
     */
    public HostListServer(Clock clock, List<HostEntry> hosts, Duration lag, Duration rebootTime) {
        this.state = new HostListState(clock, hosts);
        this.rebootTime = Objects.requireNonNull(rebootTime);
        this.faults = HostFaults.lagging(lag);
    }

    /** Returns the actual hosts and the reboots requested. */
    public HostListState state() {
        return state;
    }

    /** Returns all changes of the hosts' state so far, oldest first. */
    public List<HostEvent> events() {
        return state.events();
    }

    /** Sets the faults of later calls. */
    public void setFaults(HostFaults faults) {
        this.faults = Objects.requireNonNull(faults);
    }

    @Override
    void prepare(Vertx vertx, HttpServer server) {
        this.vertx = vertx;
        client = WebClient.create(vertx);
    }

    @Override
    void release(Vertx vertx) {
        client.close();
    }

    @Override
    Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.put("/control/faults").handler(BodyHandler.create(false));
        router.put("/control/faults").handler(this::controlFaults);
        router.put("/control/state").handler(this::controlState);
        router.get("/control/events").handler(this::controlEvents);
        router.get("/hosts").handler(this::list);
        router.post("/hosts/:worker/reboot").handler(this::reboot);
        return router;
    }

    private void list(RoutingContext context) {
        if (faults.down()) {
            context.request().connection().closeAndForget();
            return;
        }
        HostListState.Version listed = state.versionAt(faults.lag());
        String tag = "\"" + listed.number() + "\"";
        context.response().putHeader("ETag", tag);
        if (tag.equals(context.request().getHeader("If-None-Match"))) {
            context.response().setStatusCode(304).endAndForget();
            return;
        }
        JsonArray hosts = new JsonArray();
        listed.hosts().forEach(host -> hosts.add(HostJson.toJson(host)));
        context.response().putHeader("Content-Type", "application/json");
        context.endAndForget(new JsonObject().put("hosts", hosts).encode());
    }

    private void reboot(RoutingContext context) {
        if (faults.down()) {
            context.request().connection().closeAndForget();
            return;
        }
        String image = context.request().getParam("image");
        String operation = context.request().getParam("operation");
        if (image == null || operation == null) {
            context.response().setStatusCode(400).endAndForget("image and operation are needed");
            return;
        }
        WorkerId worker = new WorkerId(context.pathParam("worker"));
        HostListState.RebootResult result = state.requestReboot(worker, image, operation);
        if (result == HostListState.RebootResult.STARTED) {
            rebootWorker(worker);
        }
        if (faults.loseAnswers()) {
            context.request().connection().closeAndForget();
            return;
        }
        int status =
                switch (result) {
                    case STARTED, ALREADY_ACCEPTED -> 202;
                    case UNKNOWN_WORKER -> 404;
                    case OPERATION_ID_REUSED -> 409;
                };
        context.response().setStatusCode(status).endAndForget();
    }

    private void rebootWorker(WorkerId worker) {
        vertx.setTimer(rebootTime.toMillis(), id -> state.completeReboot(worker));
        Optional<HostEntry> host = state.host(worker);
        host.ifPresent(h -> sendState(h, "down", rebootTime).subscribe().with(r -> {}, e -> {}));
    }

    private Uni<?> sendState(HostEntry host, String state, Duration time) {
        return client.put(
                        host.address().getPort(),
                        host.address().getAddress().getHostAddress(),
                        "/control/state")
                .addQueryParam("state", state)
                .addQueryParam("forMs", Long.toString(time.toMillis()))
                .timeout(WORKER_TIMEOUT.toMillis())
                .send();
    }

    private void controlFaults(RoutingContext context) {
        setFaults(HostFaults.fromJson(context.body().asJsonObject()));
        context.endAndForget();
    }

    private void controlState(RoutingContext context) {
        WorkerId worker = new WorkerId(context.request().getParam("worker"));
        String stateName = context.request().getParam("state").toUpperCase();
        setHostState(worker, HostEntry.State.valueOf(stateName));
        context.endAndForget();
    }

    /**
     * Sets a host's state, recorded as an unplanned event, and sends it to the stand-in worker. A
     * failure to reach the worker is ignored.
     */
    public void setHostState(WorkerId worker, HostEntry.State hostState) {
        state.setState(worker, hostState);
        String stateName = hostState.name().toLowerCase();
        state.host(worker)
                .ifPresent(
                        h ->
                                sendState(h, stateName, Duration.ZERO)
                                        .subscribe()
                                        .with(r -> {}, e -> {}));
    }

    private void controlEvents(RoutingContext context) {
        JsonArray array = new JsonArray();
        for (HostEvent event : state.events()) {
            array.add(
                    new JsonObject()
                            .put("worker", event.worker().value())
                            .put("state", event.state().name().toLowerCase())
                            .put("planned", event.planned())
                            .put("at", event.at().toString()));
        }
        context.endAndForget(array.encode());
    }
}
