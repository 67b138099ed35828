package org.crocusgrade.bench.overhead;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Forwards each request to the next worker in turn; the baseline without any scheduling. */
final class RoundRobinProxy implements AutoCloseable {
    private static final int START_SECONDS = 10;
    private static final int BAD_GATEWAY = 502;
    private static final int CONNECTIONS_PER_WORKER = 8;
    private static final String PREFIX = "/s/";
    private static final String REQUEST = "Crocusgrade-Request";

    private final Vertx vertx;
    private final HttpClient client;
    private final HttpServer server;
    private final List<InetSocketAddress> workers;
    private final AtomicLong counter = new AtomicLong();

    RoundRobinProxy(List<InetSocketAddress> workers, int threads, String host) throws Exception {
        this.workers = List.copyOf(workers);
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(threads));
        client =
                vertx.createHttpClient(
                        new HttpClientOptions(),
                        new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER));
        Router router = Router.router(vertx);
        router.route(PREFIX + "*").handler(BodyHandler.create(false));
        router.route(PREFIX + "*").handler(this::forward);
        server =
                vertx.createHttpServer()
                        .requestHandler(router)
                        .listen(0, host)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(START_SECONDS, TimeUnit.SECONDS);
    }

    InetSocketAddress address(String host) {
        return new InetSocketAddress(host, server.actualPort());
    }

    private void forward(RoutingContext context) {
        long requestNumber = counter.incrementAndGet();
        InetSocketAddress worker = workers.get((int) (requestNumber % workers.size()));
        String path = context.request().uri().substring(PREFIX.length());
        RequestOptions options =
                new RequestOptions()
                        .setHost(worker.getAddress().getHostAddress())
                        .setPort(worker.getPort())
                        .setMethod(context.request().method())
                        .setURI("/run" + path.substring(path.indexOf('/')));
        Buffer body = context.body().buffer();
        client.request(options)
                .compose(
                        request -> {
                            request.headers().addAll(context.request().headers());
                            request.putHeader(REQUEST, "p" + requestNumber);
                            return request.send(body == null ? Buffer.buffer() : body);
                        })
                .compose(
                        response ->
                                response.body()
                                        .map(answer -> sendAnswer(context, response, answer)))
                .onFailure(e -> context.response().setStatusCode(BAD_GATEWAY).end());
    }

    private static Void sendAnswer(
            RoutingContext context, HttpClientResponse response, Buffer body) {
        MultiMap headers = context.response().headers();
        headers.addAll(response.headers());
        context.response().setStatusCode(response.statusCode()).end(body);
        return null;
    }

    @Override
    public void close() {
        server.close();
        client.close();
        vertx.close();
    }
}
