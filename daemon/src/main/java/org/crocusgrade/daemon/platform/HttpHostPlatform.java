package org.crocusgrade.daemon.platform;

import io.netty.util.NetUtil;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.HostPlatform;
import org.crocusgrade.core.port.PlatformException;

/**
 * Reads the platform's host list and requests reboots over HTTP. The latest list is cached with its
 * entity tag, so reading it again transfers no list until it changes.
 */
public final class HttpHostPlatform implements HostPlatform {
    private static final String ETAG = "ETag";
    private static final String IF_NONE_MATCH = "If-None-Match";
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final WebClient client;
    private final Duration timeout;
    private volatile TaggedHosts latest = new TaggedHosts("", List.of());

    private record TaggedHosts(String tag, List<HostEntry> hosts) {}

    /**
     * Creates a client.
     *
     * @param address IP address and port of the host list
     * @param timeout maximum duration of a call
     */
    public HttpHostPlatform(Vertx vertx, InetSocketAddress address, Duration timeout) {
        this.timeout = Objects.requireNonNull(timeout);
        WebClientOptions options =
                new WebClientOptions()
                        .setDefaultHost(address.getAddress().getHostAddress())
                        .setDefaultPort(address.getPort())
                        .setConnectTimeout((int) timeout.toMillis());
        this.client = WebClient.create(vertx, options);
    }

    /** Closes the HTTP client and its connections. */
    public void close() {
        client.close();
    }

    @Override
    public Uni<List<HostEntry>> hosts() {
        TaggedHosts cached = latest;
        HttpRequest<Buffer> request = client.get("/hosts").timeout(timeout.toMillis());
        if (!cached.tag().isEmpty()) {
            request.putHeader(IF_NONE_MATCH, cached.tag());
        }
        return request.send()
                .onFailure()
                .transform(e -> new PlatformException("request for the host list failed", e))
                .onItem()
                .transformToUni(response -> parseHosts(response, cached));
    }

    @Override
    public Uni<Void> reboot(WorkerId worker, String image, String operation) {
        return client.post("/hosts/" + worker.value() + "/reboot")
                .addQueryParam("image", image)
                .addQueryParam("operation", operation)
                .timeout(timeout.toMillis())
                .send()
                .onFailure()
                .transform(e -> new PlatformException("reboot request failed", e))
                .onItem()
                .transformToUni(HttpHostPlatform::rebootResult);
    }

    private static Uni<Void> rebootResult(HttpResponse<Buffer> response) {
        if (response.statusCode() == 202) {
            return Uni.createFrom().voidItem();
        }
        String text = "reboot request refused with HTTP status " + response.statusCode();
        return Uni.createFrom().failure(new PlatformException(text));
    }

    private Uni<List<HostEntry>> parseHosts(HttpResponse<Buffer> response, TaggedHosts cached) {
        if (response.statusCode() == NOT_MODIFIED && !cached.tag().isEmpty()) {
            return Uni.createFrom().item(cached.hosts());
        }
        if (response.statusCode() != OK) {
            String text = "host list returned HTTP status " + response.statusCode();
            return Uni.createFrom().failure(new PlatformException(text));
        }
        try {
            JsonArray array = response.bodyAsJsonObject().getJsonArray("hosts");
            List<HostEntry> hosts = new ArrayList<>(array.size());
            for (int i = 0; i < array.size(); i++) {
                hosts.add(parseHost(array.getJsonObject(i)));
            }
            String tag = response.getHeader(ETAG);
            latest = new TaggedHosts(tag == null ? "" : tag, List.copyOf(hosts));
            return Uni.createFrom().item(hosts);
        } catch (RuntimeException | UnknownHostException e) {
            return Uni.createFrom().failure(new PlatformException("cannot parse the host list", e));
        }
    }

    private static HostEntry parseHost(JsonObject json) throws UnknownHostException {
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(json.getString("ip"));
        if (ip == null) {
            throw new UnknownHostException("not an IP address: " + json.getString("ip"));
        }
        return new HostEntry(
                new WorkerId(json.getString("worker")),
                new InetSocketAddress(InetAddress.getByAddress(ip), json.getInteger("port")),
                new RackId(json.getString("rack")),
                new AvailabilityZone(json.getString("zone")),
                HostEntry.State.valueOf(json.getString("state").toUpperCase(Locale.ROOT)),
                json.getInteger("cores"),
                json.getLong("memoryBytes"),
                json.getInteger("accelerators"),
                json.getInteger("slots"),
                json.getInteger("connections"),
                json.getString("image"));
    }
}
