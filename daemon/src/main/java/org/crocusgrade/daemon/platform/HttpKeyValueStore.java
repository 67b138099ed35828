package org.crocusgrade.daemon.platform;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;

/**
 * Client of the platform's key-value service over HTTP. Watches use separate connections, so that
 * waiting watches never delay the renewal of a lease.
 */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final int CALL_CONNECTIONS = 8;
    private static final int WATCH_CONNECTIONS = 16;
    private static final int MAX_QUEUED_CALLS = 256;

    private final WebClient callClient;
    private final WebClient watchClient;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param address IP address and port of the service
     * @param timeout duration of a call after which its answer counts as lost
     */
    public HttpKeyValueStore(Vertx vertx, InetSocketAddress address, Duration timeout) {
        this.timeout = Objects.requireNonNull(timeout);
        this.callClient = client(vertx, address, timeout, CALL_CONNECTIONS);
        this.watchClient = client(vertx, address, timeout, WATCH_CONNECTIONS);
    }

    /** Closes the HTTP clients and their connections. */
    public void close() {
        callClient.close();
        watchClient.close();
    }

    @Override
    public Uni<Optional<StoreEntry>> get(String key) {
        HttpRequest<Buffer> request =
                request(HttpMethod.GET, "/kv/entry").addQueryParam("key", key);
        return read(request.send(), response -> entryOf(key, response));
    }

    @Override
    public Uni<List<StoreEntry>> list(String prefix) {
        HttpRequest<Buffer> request =
                request(HttpMethod.GET, "/kv/list").addQueryParam("prefix", prefix);
        return read(
                request.send(),
                response -> entriesOf(response.bodyAsJsonObject().getJsonArray("entries")));
    }

    @Override
    public Uni<Long> compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        if (value.length > MAX_VALUE_BYTES) {
            return Uni.createFrom()
                    .failure(
                            new StoreException(
                                    Kind.REFUSED, "value of " + key + " exceeds the size limit"));
        }
        HttpRequest<Buffer> request =
                request(HttpMethod.PUT, "/kv/entry")
                        .addQueryParam("key", key)
                        .addQueryParam("expected", Long.toString(expected));
        lease.ifPresent(id -> request.addQueryParam("lease", Long.toString(id.value())));
        return read(
                request.sendBuffer(Buffer.buffer(value)),
                response -> response.bodyAsJsonObject().getLong("revision"));
    }

    @Override
    public Uni<Void> delete(String key, long expected) {
        HttpRequest<Buffer> request =
                request(HttpMethod.DELETE, "/kv/entry")
                        .addQueryParam("key", key)
                        .addQueryParam("expected", Long.toString(expected));
        return read(request.send(), response -> null);
    }

    @Override
    public Uni<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        HttpRequest<Buffer> request =
                watchClient
                        .request(HttpMethod.GET, "/kv/watch")
                        .addQueryParam("prefix", prefix)
                        .addQueryParam("after", Long.toString(afterRevision))
                        .addQueryParam("waitMs", Long.toString(wait.toMillis()))
                        .timeout(wait.plus(timeout).toMillis());
        return read(request.send(), response -> watchOf(response.bodyAsJsonObject()));
    }

    @Override
    public Uni<LeaseId> grantLease(Duration timeToLive) {
        HttpRequest<Buffer> request =
                request(HttpMethod.POST, "/lease")
                        .addQueryParam("ttlMs", Long.toString(timeToLive.toMillis()));
        return read(
                request.send(),
                response -> new LeaseId(response.bodyAsJsonObject().getLong("lease")));
    }

    @Override
    public Uni<Void> renewLease(LeaseId lease) {
        return read(request(HttpMethod.PUT, "/lease/" + lease.value()).send(), response -> null);
    }

    @Override
    public Uni<Void> revokeLease(LeaseId lease) {
        return read(request(HttpMethod.DELETE, "/lease/" + lease.value()).send(), r -> null);
    }

    private static WebClient client(
            Vertx vertx, InetSocketAddress address, Duration timeout, int connections) {
        WebClientOptions options =
                new WebClientOptions()
                        .setDefaultHost(address.getAddress().getHostAddress())
                        .setDefaultPort(address.getPort())
                        .setConnectTimeout((int) timeout.toMillis())
                        .setMaxPoolSize(connections)
                        .setMaxWaitQueueSize(MAX_QUEUED_CALLS);
        return WebClient.create(vertx, options);
    }

    private HttpRequest<Buffer> request(HttpMethod method, String path) {
        return callClient.request(method, path).timeout(timeout.toMillis());
    }

    private static <T> Uni<T> read(
            Uni<HttpResponse<Buffer>> sent, Function<HttpResponse<Buffer>, T> reader) {
        return sent.onFailure()
                .transform(HttpKeyValueStore::toStoreException)
                .onItem()
                .transformToUni(response -> toResult(response, reader));
    }

    private static <T> Uni<T> toResult(
            HttpResponse<Buffer> response, Function<HttpResponse<Buffer>, T> reader) {
        Optional<StoreException> error = errorOf(response);
        if (error.isPresent()) {
            return Uni.createFrom().failure(error.get());
        }
        try {
            return Uni.createFrom().item(reader.apply(response));
        } catch (RuntimeException e) {
            return Uni.createFrom()
                    .failure(new StoreException(Kind.ANSWER_LOST, "cannot parse the answer", e));
        }
    }

    private static Optional<StoreException> errorOf(HttpResponse<Buffer> response) {
        int status = response.statusCode();
        if (status == 200 || status == 404) {
            return Optional.empty();
        }
        String text = "HTTP status " + status + ": " + response.bodyAsString();
        Kind kind =
                switch (status) {
                    case 409 -> Kind.CONFLICT;
                    case 410 -> Kind.LEASE_LOST;
                    case 400, 413, 429 -> Kind.REFUSED;
                    default -> Kind.ANSWER_LOST;
                };
        return Optional.of(new StoreException(kind, text));
    }

    /**
     * Maps a failed call to an exception. Only a failure to connect proves that the request was not
     * sent; after any other failure the service may have executed it.
     */
    private static Throwable toStoreException(Throwable failure) {
        boolean notConnected =
                failure instanceof ConnectException || failure instanceof NoRouteToHostException;
        Kind kind = notConnected ? Kind.UNREACHED : Kind.ANSWER_LOST;
        return new StoreException(kind, "" + failure.getMessage(), failure);
    }

    private static Optional<StoreEntry> entryOf(String key, HttpResponse<Buffer> response) {
        if (response.statusCode() == 404) {
            return Optional.empty();
        }
        long revision = Long.parseLong(response.getHeader("Platform-Revision"));
        Buffer body = response.body();
        byte[] value = body == null ? new byte[0] : body.getBytes();
        return Optional.of(new StoreEntry(key, revision, value));
    }

    private static List<StoreEntry> entriesOf(JsonArray array) {
        List<StoreEntry> entries = new ArrayList<>(array.size());
        for (int i = 0; i < array.size(); i++) {
            JsonObject json = array.getJsonObject(i);
            byte[] value = Base64.getDecoder().decode(json.getString("value"));
            entries.add(new StoreEntry(json.getString("key"), json.getLong("revision"), value));
        }
        return entries;
    }

    private static WatchResult watchOf(JsonObject json) {
        List<String> deleted = new ArrayList<>();
        json.getJsonArray("deleted").forEach(key -> deleted.add((String) key));
        return new WatchResult(
                json.getLong("revision"), entriesOf(json.getJsonArray("changed")), deleted);
    }
}
