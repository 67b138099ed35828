package org.crocusgrade.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
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
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.id.RequestId;

/** Sends attempts to workers over HTTP and judges how each ended. */
public final class WorkerClient {
    /** The header that carries an attempt's id, there and back. */
    public static final String REQUEST = "Crocusgrade-Request";

    private static final String SERVICE = "Crocusgrade-Service";
    private static final String POOL = "Crocusgrade-Pool";
    private static final String REFUSED = "Crocusgrade-Refused";
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);
    private static final int KEEP_ALIVE_SECONDS = 5;
    private static final int CONNECTIONS_PER_WORKER = 8;

    private static final Map<String, RunEnd> REFUSALS =
            Map.of(
                    "slots", RunEnd.REFUSED_SLOTS,
                    "connections", RunEnd.REFUSED_CONNECTIONS,
                    "leaving", RunEnd.REFUSED_LEAVING);

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

    private final HttpClient client;

    /** Makes a client. */
    public WorkerClient(Vertx vertx) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setDecompressionSupported(false);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER);
        client = vertx.createHttpClient(options, pool);
    }

    /** Sends an attempt; the future always succeeds. */
    public Future<RunResult> run(RunCall call) {
        RequestOptions options =
                to(call.worker(), call.method(), "/run" + call.path(), call.timeout());
        return client.request(options)
                .compose(
                        request -> send(request, call),
                        failure -> Future.succeededFuture(RunResult.without(RunEnd.NOT_SENT)));
    }

    /** Asks a worker to cancel an attempt. */
    public void cancel(InetSocketAddress worker, RequestId attempt) {
        String path = "/control/run/" + attempt.value();
        client.request(to(worker, HttpMethod.DELETE, path, CANCEL_TIMEOUT))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::end);
    }

    /** Asks a worker how many requests it runs. */
    public Future<Integer> running(InetSocketAddress worker) {
        return client.request(to(worker, HttpMethod.GET, "/control/health", CANCEL_TIMEOUT))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .map(body -> body.toJsonObject().getInteger("running"));
    }

    /** Closes the connections. */
    public Future<Void> close() {
        return client.close();
    }

    /** Returns whether a header may pass through: it is about the message, not a connection. */
    public static boolean isEndToEnd(String header) {
        return !HOP_BY_HOP.contains(header.toLowerCase(Locale.ROOT));
    }

    private static RequestOptions to(
            InetSocketAddress worker, HttpMethod method, String path, Duration timeout) {
        return new RequestOptions()
                .setHost(worker.getAddress().getHostAddress())
                .setPort(worker.getPort())
                .setMethod(method)
                .setURI(path)
                .setIdleTimeout(Math.max(1, timeout.toMillis()));
    }

    private Future<RunResult> send(HttpClientRequest request, RunCall call) {
        for (Map.Entry<String, String> header : call.headers()) {
            if (isEndToEnd(header.getKey())) {
                request.headers().add(header.getKey(), header.getValue());
            }
        }
        request.putHeader(REQUEST, call.attempt().value());
        request.putHeader(SERVICE, call.service().value());
        request.putHeader(POOL, call.pool().value());
        return request.send(call.body())
                .compose(
                        response -> read(response, call),
                        e -> Future.succeededFuture(RunResult.without(RunEnd.CONNECTION_LOST)));
    }

    private Future<RunResult> read(HttpClientResponse response, RunCall call) {
        return response.body()
                .map(body -> judge(response, body, call))
                .otherwise(RunResult.without(RunEnd.ANSWER_CUT));
    }

    private static RunResult judge(HttpClientResponse response, Buffer body, RunCall call) {
        MultiMap headers = response.headers();
        String length = headers.get(CONTENT_LENGTH);
        boolean belongs = call.attempt().value().equals(headers.get(REQUEST));
        if (!belongs || !Integer.toString(body.length()).equals(length)) {
            return RunResult.without(RunEnd.ANSWER_MISMATCH);
        }
        String refused = headers.get(REFUSED);
        if (refused != null && REFUSALS.containsKey(refused)) {
            return RunResult.without(REFUSALS.get(refused));
        }
        Answer answer = new Answer(response.statusCode(), headers, body);
        boolean failed = answer.status() >= 500;
        RunEnd end = failed ? RunEnd.ANSWERED_FAILURE : RunEnd.ANSWERED;
        return new RunResult(end, Optional.of(answer));
    }
}
