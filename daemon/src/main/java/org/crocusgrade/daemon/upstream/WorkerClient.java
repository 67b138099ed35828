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

/** Sends attempts to workers over HTTP and judges how each ended. */
public final class WorkerClient {
    /** The header that carries an attempt's id, there and back. */
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
    private final HttpClient control;

    /** Makes a client. */
    public WorkerClient(Vertx vertx) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setDecompressionSupported(false);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER);
        this.vertx = vertx;
        client = vertx.createHttpClient(options, pool);
        control = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Sends an attempt; the future always succeeds, by the end of the call's time limit. After that
     * the connection is closed; what the worker still does is not known.
     */
    public Future<RunResult> run(RunCall call) {
        AttemptCall attempt = new AttemptCall(call);
        ScheduledFuture<?> limit =
                vertx.nettyEventLoopGroup()
                        .next()
                        .schedule(attempt::expire, call.timeout().toNanos(), TimeUnit.NANOSECONDS);
        client.request(to(call.worker(), call.method(), "/run" + call.path()))
                .onSuccess(attempt::connected)
                .onFailure(e -> attempt.notConnected());
        return attempt.future().onComplete(result -> limit.cancel(false));
    }

    /** Asks a worker to cancel an attempt. */
    public void cancel(InetSocketAddress worker, RequestId attempt) {
        String path = "/control/run/" + attempt.value();
        control.request(toControl(worker, HttpMethod.DELETE, path))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::end);
    }

    /** Asks a worker how many requests it runs. */
    public Future<Integer> running(InetSocketAddress worker) {
        return control.request(toControl(worker, HttpMethod.GET, "/control/health"))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .map(body -> body.toJsonObject().getInteger("running"));
    }

    /** Closes the connections. */
    public void close() {
        client.close();
        control.close();
    }

    /** Returns whether a header may pass through: it is about the message, not a connection. */
    public static boolean isEndToEnd(String header) {
        return !HOP_BY_HOP.contains(header.toLowerCase(Locale.ROOT));
    }

    private static RequestOptions toControl(
            InetSocketAddress worker, HttpMethod method, String path) {
        return to(worker, method, path).setIdleTimeout(CONTROL_TIMEOUT.toMillis());
    }

    private static RequestOptions to(InetSocketAddress worker, HttpMethod method, String path) {
        return new RequestOptions()
                .setHost(worker.getAddress().getHostAddress())
                .setPort(worker.getPort())
                .setMethod(method)
                .setURI(path);
    }
}
