package org.crocusgrade.daemon.ops;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.crocusgrade.daemon.metrics.DaemonMetrics;

/** The operators' HTTP interface: health, readiness, metrics and status. It is read-only. */
public final class OperatorApi {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final DaemonMetrics metrics;
    private final BooleanSupplier ready;
    private final Supplier<JsonObject> status;

    /**
     * Creates the interface.
     *
     * @param ready whether the daemon is ready for requests
     * @param status supplies the status page
     */
    public OperatorApi(DaemonMetrics metrics, BooleanSupplier ready, Supplier<JsonObject> status) {
        this.metrics = metrics;
        this.ready = ready;
        this.status = status;
    }

    /** Returns a router for all requests of the operators' port. */
    public Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(context -> context.end("ok\n"));
        router.get("/readyz").handler(this::readiness);
        router.get("/metrics").handler(this::metrics);
        router.get("/status").handler(this::status);
        return router;
    }

    private void readiness(RoutingContext context) {
        boolean isReady = ready.getAsBoolean();
        context.response().setStatusCode(isReady ? OK : UNAVAILABLE);
        context.end(isReady ? "ready\n" : "not ready\n");
    }

    private void metrics(RoutingContext context) {
        context.response().putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
        context.end(Buffer.buffer(metrics.text()));
    }

    private void status(RoutingContext context) {
        context.response().putHeader("Content-Type", "application/json");
        context.end(status.get().toBuffer());
    }
}
