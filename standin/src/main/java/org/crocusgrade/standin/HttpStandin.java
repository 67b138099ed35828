package org.crocusgrade.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import java.net.InetSocketAddress;

/** Base class of the stand-ins: starts and stops the HTTP server. */
abstract class HttpStandin {
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private HttpServer server;

    /** Creates the routes; called once per start. */
    abstract Router routes(Vertx vertx);

    /** Called once per start, before the server listens. */
    void prepare(Vertx vertx, HttpServer server) {}

    /** Called once per stop, after the server has closed. */
    void release(Vertx vertx) {}

    private Vertx vertx;

    /** Starts to listen, on a free port if the port is 0; emits the address listened on. */
    public Uni<InetSocketAddress> start(Vertx vertx, String host, int port) {
        this.vertx = vertx;
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(host)
                        .setPort(port)
                        .setReuseAddress(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES);
        server = vertx.createHttpServer(options).requestHandler(routes(vertx));
        prepare(vertx, server);
        return server.listen().map(s -> new InetSocketAddress(host, s.actualPort()));
    }

    /** Closes the server and its connections. */
    public Uni<Void> stop() {
        if (server == null) {
            return Uni.createFrom().voidItem();
        }
        HttpServer closing = server;
        server = null;
        return closing.close().invoke(() -> release(vertx));
    }
}
