package org.crocusgrade.daemon.edge;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
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
import org.crocusgrade.daemon.metrics.DaemonMetrics;

/**
 * The callers' interface: {@code ANY /s/{service}/{path}}.
 *
 * <p>Request headers: {@code Idempotency-Key}, {@code Crocusgrade-Timeout-Ms} (1 to 3600000),
 * {@code Crocusgrade-Customer}.
 */
public final class CallerApi {
    private static final String PREFIX = "/s/";
    private static final String KEY = "Idempotency-Key";
    private static final String TIMEOUT_MILLIS = "Crocusgrade-Timeout-Ms";
    private static final String CUSTOMER = "Crocusgrade-Customer";
    private static final CustomerId NO_CUSTOMER = new CustomerId("anonymous");
    private static final ServiceId NO_SERVICE = new ServiceId("none");
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);
    private static final int TOO_LARGE = 413;

    private final AtomicReference<FlowTable> flows;
    private final BootId boot;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final long maxBodyBytes;
    private final AtomicLong counter = new AtomicLong();

    /** Makes the interface over the flows in force, which are replaced whole. */
    public CallerApi(
            AtomicReference<FlowTable> flows,
            BootId boot,
            Clock clock,
            DaemonMetrics metrics,
            long maxBodyBytes) {
        this.flows = flows;
        this.boot = boot;
        this.clock = clock;
        this.metrics = metrics;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the routes. */
    public Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route(PREFIX + "*").handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
        router.route(PREFIX + "*").handler(this::handle);
        router.route().handler(context -> refuse(context, NO_SERVICE, Reason.NO_SERVICE));
        router.errorHandler(TOO_LARGE, context -> refuse(context, NO_SERVICE, Reason.TOO_LARGE));
        return router;
    }

    private void handle(RoutingContext context) {
        FlowTable table = flows.get();
        HttpServerRequest http = context.request();
        String rest = http.uri().substring(PREFIX.length());
        int end = endOfService(rest);
        String name = rest.substring(0, end);
        if (table.flows().isEmpty()) {
            refuse(context, NO_SERVICE, Reason.NO_CONFIG);
            return;
        }
        ServiceFlow flow = Names.isName(name) ? table.flows().get(new ServiceId(name)) : null;
        if (flow == null) {
            refuse(context, NO_SERVICE, Reason.NO_SERVICE);
            return;
        }
        String path = end < rest.length() && rest.charAt(end) == '/' ? rest.substring(end) : "/";
        ServiceConfig config = flow.config();
        Request request;
        try {
            request = read(http, config, path);
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

    private void submit(RoutingContext context, ServiceFlow flow, Request request, String path) {
        HttpServerRequest http = context.request();
        HttpServerResponse response = http.response();
        Buffer body = context.body().buffer();
        Exchange exchange =
                new Exchange(
                        request,
                        http.method(),
                        path,
                        http.headers(),
                        body == null ? Buffer.buffer() : body,
                        responder(context, flow.config().service()));
        response.closeHandler(
                v -> {
                    if (!response.ended()) {
                        flow.cancel(request.id());
                    }
                });
        flow.submit(exchange);
    }

    private Request read(HttpServerRequest http, ServiceConfig config, String path) {
        int query = path.indexOf('?');
        String plain = query < 0 ? path : path.substring(0, query);
        String method = http.method().name();
        return new Request(
                new RequestId(boot.value() + "-" + counter.incrementAndGet()),
                customer(http),
                clock.nanoTime() + timeout(http, config).toNanos(),
                config.serviceClass() == ServiceClass.PROMPT,
                IdempotencyRule.isIdempotent(method, plain, config.paths()),
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

    private static int endOfService(String rest) {
        for (int i = 0; i < rest.length(); i++) {
            if (rest.charAt(i) == '/' || rest.charAt(i) == '?') {
                return i;
            }
        }
        return rest.length();
    }

    private void refuse(RoutingContext context, ServiceId service, Reason reason) {
        responder(context, service).refuse(reason, Optional.empty());
    }

    private HttpResponder responder(RoutingContext context, ServiceId service) {
        return new HttpResponder(
                context.vertx().getOrCreateContext(), context.response(), service, metrics);
    }
}
