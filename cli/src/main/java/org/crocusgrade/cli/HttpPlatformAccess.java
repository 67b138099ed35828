package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.unchecked.Unchecked;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;

/** Accesses the platform and the daemons over HTTP. */
final class HttpPlatformAccess implements PlatformAccess {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_OK = 200;

    private final InetSocketAddress address;
    private final Vertx vertx;
    private final HttpKeyValueStore store;
    private final WebClient client;

    HttpPlatformAccess(InetSocketAddress address) {
        this.address = address;
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        store = new HttpKeyValueStore(vertx, address, STORE_TIMEOUT);
        client =
                WebClient.create(
                        vertx,
                        new WebClientOptions()
                                .setConnectTimeout((int) PAGE_TIMEOUT.toMillis())
                                .setUserAgentEnabled(false));
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public KeyValueStore store() {
        return store;
    }

    @Override
    public Uni<JsonNode> page(InetSocketAddress operators, String path) {
        return client.get(operators.getPort(), operators.getAddress().getHostAddress(), path)
                .timeout(PAGE_TIMEOUT.toMillis())
                .send()
                .map(
                        Unchecked.function(
                                answer -> {
                                    if (answer.statusCode() != HTTP_OK) {
                                        throw new IOException("HTTP status " + answer.statusCode());
                                    }
                                    return Invocation.JSON.readTree(answer.bodyAsString());
                                }));
    }

    @Override
    public void close() {
        store.close();
        client.close();
        vertx.close().await().atMost(CLOSE_TIMEOUT);
    }
}
