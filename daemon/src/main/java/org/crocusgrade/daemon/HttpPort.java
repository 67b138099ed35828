package org.crocusgrade.daemon;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** An HTTP server on one address of the daemon. */
final class HttpPort {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

    private final InetSocketAddress requested;
    private final HttpServer server;

    private HttpPort(InetSocketAddress requested, HttpServer server) {
        this.requested = requested;
        this.server = server;
    }

    /**
     * Starts a server on an address.
     *
     * @throws DaemonException if the address cannot be bound
     */
    static HttpPort listen(
            Vertx vertx, InetSocketAddress address, Router router, int maxHeaderBytes)
            throws DaemonException {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(address.getAddress().getHostAddress())
                        .setPort(address.getPort())
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setHttp2ClearTextEnabled(false)
                        .setCompressionSupported(false);
        try {
            HttpServer server =
                    vertx.createHttpServer(options)
                            .requestHandler(router)
                            .listen()
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            return new HttpPort(address, server);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DaemonException("Interrupted while binding " + address, e);
        } catch (ExecutionException | TimeoutException e) {
            throw new DaemonException("The daemon cannot listen on " + address, e);
        }
    }

    /** Returns the address with the port that was bound. */
    InetSocketAddress address() {
        return new InetSocketAddress(requested.getAddress(), server.actualPort());
    }

    void close() {
        server.close();
    }
}
