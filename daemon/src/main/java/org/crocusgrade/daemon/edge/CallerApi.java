package org.crocusgrade.daemon.edge;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.crocusgrade.core.claim.ClaimId;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.dispatch.IdempotencyRule;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.IdempotencyKey;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.misc.Names;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.edge.KeyedRequests.KeyedRequest;
import org.crocusgrade.daemon.metrics.DaemonMetrics;

/**
 * The callers' HTTP interface: {@code ANY /s/{service}/{path}}.
 *
 * <p>Request headers: {@code Idempotency-Key}, {@code Crocusgrade-Timeout-Ms} (1 to 3600000),
 * {@code Crocusgrade-Customer}.
 */
public final class CallerApi {
    private static final String PREFIX = "/s/";
    static final String KEY = "Idempotency-Key";
    private static final String TIMEOUT_MILLIS = "Crocusgrade-Timeout-Ms";
    static final String CUSTOMER = "Crocusgrade-Customer";
    private static final CustomerId NO_CUSTOMER = new CustomerId("anonymous");
    private static final ServiceId NO_SERVICE = new ServiceId("none");
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);
    private static final int TOO_LARGE = 413;

    private final AtomicReference<FlowTable> flows;
    private final BootId boot;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final long maxBodyBytes;
    private final KeyedRequests keyed;
    private final InFlightRequests inFlight;
    private final AtomicLong counter = new AtomicLong();

    /**
     * Creates the interface.
     *
     * @param flows the table in force; read anew for each request
     * @param maxBodyBytes the largest request body, in bytes
     */
    public CallerApi(
            AtomicReference<FlowTable> flows,
            BootId boot,
            Clock clock,
            DaemonMetrics metrics,
            KeyedRequests keyed,
            InFlightRequests inFlight,
            long maxBodyBytes) {
        this.inFlight = inFlight;
        this.flows = flows;
        this.keyed = keyed;
        this.boot = boot;
        this.clock = clock;
        this.metrics = metrics;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns a router for all requests of the callers' port. */
    public Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(inFlight::track);
        router.route(PREFIX + "*").handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
        router.route(PREFIX + "*").handler(this::handle);
        router.route().handler(context -> refuse(context, NO_SERVICE, Reason.NO_SERVICE));
        router.errorHandler(TOO_LARGE, context -> refuse(context, NO_SERVICE, Reason.TOO_LARGE));
        return router;
    }

    private void handle(RoutingContext context) {
        FlowTable table = flows.get();
        HttpServerRequest http = context.request();
        String afterPrefix = http.uri().substring(PREFIX.length());
        int end = serviceNameEnd(afterPrefix);
        String name = afterPrefix.substring(0, end);
        ServiceFlow flow = Names.isName(name) ? table.flows().get(new ServiceId(name)) : null;
        if (flow == null) {
            refuse(context, NO_SERVICE, reasonWithoutService(table, http));
            return;
        }
        String tail = afterPrefix.substring(end);
        String path = tail.startsWith("/") ? tail : "/" + tail;
        ServiceConfig config = flow.config();
        Request request;
        try {
            request = readRequest(http, config, path);
        } catch (IllegalArgumentException e) {
            refuse(context, config.service(), Reason.BAD_REQUEST);
            return;
        }
        if (!request.idempotent() && config.keyRequired() && request.key().isEmpty()) {
            refuse(context, config.service(), Reason.KEY_REQUIRED);
            return;
        }
        submit(context, flow, request, path);
    }

    private static Reason reasonWithoutService(FlowTable table, HttpServerRequest http) {
        boolean resubmitted =
                http.getHeader(KEY) != null
                        && !IdempotencyRule.isIdempotent(http.method().name(), "/", List.of());
        if (resubmitted) {
            return Reason.KEY_UNCHECKED;
        }
        return table.flows().isEmpty() ? Reason.NO_CONFIG : Reason.NO_SERVICE;
    }

    private void submit(RoutingContext context, ServiceFlow flow, Request request, String path) {
        Buffer received = context.body().buffer();
        Buffer body = received == null ? Buffer.buffer() : received;
        Responder caller = responder(context, flow.config().service());
        if (request.idempotent() || request.key().isEmpty()) {
            onDisconnect(context, () -> flow.cancel(request.id()));
            flow.submit(exchange(context.request(), request, path, body, caller));
            return;
        }
        submitKeyed(context, flow, request, path, body, caller);
    }

    private void submitKeyed(
            RoutingContext context,
            ServiceFlow flow,
            Request request,
            String path,
            Buffer body,
            Responder caller) {
        HttpServerRequest http = context.request();
        ClaimId id =
                ClaimId.of(
                        flow.config().service(), request.customer(), request.key().orElseThrow());
        String attach = http.getHeader(HttpRemoteRuns.ATTACH);
        if (attach != null) {
            HttpRemoteRuns.fingerprint(attach)
                    .ifPresentOrElse(
                            attachFingerprint -> keyed.attach(id, attachFingerprint, caller),
                            () -> caller.refuse(Reason.BAD_REQUEST, Optional.empty()));
            return;
        }
        long fingerprint = ClaimId.fingerprint(http.method().name(), path, body.getBytes());
        KeyedRequest keyedRequest =
                new KeyedRequest(id, fingerprint, request, http.method(), http.uri());
        onDisconnect(
                context,
                () -> {
                    if (keyed.detach(id, caller)) {
                        flow.cancel(request.id());
                    }
                });
        keyed.submit(
                keyedRequest,
                caller,
                responder -> flow.submit(exchange(http, request, path, body, responder)));
    }

    private static void onDisconnect(RoutingContext context, Runnable action) {
        HttpServerResponse response = context.response();
        response.closeHandler(
                v -> {
                    if (!response.ended()) {
                        action.run();
                    }
                });
    }

    private static Exchange exchange(
            HttpServerRequest http,
            Request request,
            String path,
            Buffer body,
            Responder responder) {
        return new Exchange(request, http.method(), path, http.headers(), body, responder);
    }

    private Request readRequest(HttpServerRequest http, ServiceConfig config, String path) {
        int query = path.indexOf('?');
        String pathOnly = query < 0 ? path : path.substring(0, query);
        String method = http.method().name();
        return new Request(
                new RequestId(boot.value() + "-" + counter.incrementAndGet()),
                customer(http),
                clock.nanoTime() + timeout(http, config).toNanos(),
                config.serviceClass() == ServiceClass.PROMPT,
                IdempotencyRule.isIdempotent(method, pathOnly, config.paths()),
                key(http),
                config.needs());
    }

    private static CustomerId customer(HttpServerRequest http) {
        String text = http.getHeader(CUSTOMER);
        return text == null ? NO_CUSTOMER : new CustomerId(text);
    }

    private static Optional<IdempotencyKey> key(HttpServerRequest http) {
        return Optional.ofNullable(http.getHeader(KEY)).map(IdempotencyKey::new);
    }

    private static Duration timeout(HttpServerRequest http, ServiceConfig config) {
        String text = http.getHeader(TIMEOUT_MILLIS);
        if (text == null) {
            return config.deadline();
        }
        long millis = Long.parseLong(text);
        if (millis < 1 || millis > MAX_TIMEOUT.toMillis()) {
            throw new IllegalArgumentException(TIMEOUT_MILLIS + " is out of range");
        }
        return Duration.ofMillis(millis);
    }

    private static int serviceNameEnd(String afterPrefix) {
        for (int i = 0; i < afterPrefix.length(); i++) {
            if (afterPrefix.charAt(i) == '/' || afterPrefix.charAt(i) == '?') {
                return i;
            }
        }
        return afterPrefix.length();
    }

    private void refuse(RoutingContext context, ServiceId service, Reason reason) {
        responder(context, service).refuse(reason, Optional.empty());
    }

    private HttpResponder responder(RoutingContext context, ServiceId service) {
        return new HttpResponder(
                context.vertx().getOrCreateContext(), context.response(), service, metrics);
    }
}
