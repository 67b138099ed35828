package org.crocusgrade.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.id.RequestId;

/** Sends attempts to workers over HTTP and classifies how each ended. */
public final class WorkerClient {
    /** The header that carries an attempt's id, in the request and, echoed, in the answer. */
    public static final String REQUEST = "Crocusgrade-Request";

    static final String SERVICE = "Crocusgrade-Service";
    static final String POOL = "Crocusgrade-Pool";
    static final String REFUSED = "Crocusgrade-Refused";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
    private static final int KEEP_ALIVE_SECONDS = 5;
    static final int CONNECTIONS_PER_WORKER = 8;

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "content-length",
                    "expect");

    private final Vertx vertx;
    private final HttpClient client;
    private final HttpClient controlClient;

    /**
     * Creates a client with two connection pools per worker: one for attempts, and one with a
     * single connection for control requests, so that a cancel is not delayed when all connections
     * for attempts are busy.
     */
    public WorkerClient(Vertx vertx) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setDecompressionSupported(false);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER);
        this.vertx = vertx;
        client = vertx.createHttpClient(options, pool);
        controlClient = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Sends an attempt. The future never fails and completes within the call's time limit; when the
     * limit passes, the connection is closed, and whether the worker continues the run is unknown.
     */
    public Future<RunResult> run(RunCall call) {
        AttemptCall attempt = new AttemptCall(call);
        ScheduledFuture<?> timeout =
                vertx.nettyEventLoopGroup()
                        .next()
                        .schedule(attempt::expire, call.timeout().toNanos(), TimeUnit.NANOSECONDS);
        client.request(requestOptions(call.worker(), call.method(), "/run" + call.path()))
                .onSuccess(attempt::onConnected)
                .onFailure(e -> attempt.onConnectFailed());
        return attempt.future().onComplete(result -> timeout.cancel(false));
    }

    /** Requests that a worker cancel an attempt; failures are ignored. */
    public void cancel(InetSocketAddress worker, RequestId attempt) {
        String path = "/control/run/" + attempt.value();
        controlClient
                .request(controlOptions(worker, HttpMethod.DELETE, path))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::end);
    }

    /** Queries the number of requests that a worker runs. */
    public Future<Integer> running(InetSocketAddress worker) {
        return controlClient
                .request(controlOptions(worker, HttpMethod.GET, "/control/health"))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .map(body -> body.toJsonObject().getInteger("running"));
    }

    /** Closes all connections. */
    public void close() {
        client.close();
        controlClient.close();
    }

    /**
     * Returns whether a header may be forwarded. Not forwarded are the hop-by-hop headers, and
     * {@code Host}, {@code Content-Length} and {@code Expect}, which are set anew for each
     * connection.
     */
    public static boolean isEndToEnd(String header) {
        return !HOP_BY_HOP.contains(header.toLowerCase(Locale.ROOT));
    }

    private static RequestOptions controlOptions(
            InetSocketAddress worker, HttpMethod method, String path) {
        return requestOptions(worker, method, path).setIdleTimeout(CONTROL_TIMEOUT.toMillis());
    }

    private static RequestOptions requestOptions(
            InetSocketAddress worker, HttpMethod method, String path) {
        return new RequestOptions()
                .setHost(worker.getAddress().getHostAddress())
                .setPort(worker.getPort())
                .setMethod(method)
                .setURI(path);
    }
}
