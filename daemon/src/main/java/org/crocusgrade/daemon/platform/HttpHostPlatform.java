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
 * The platform's host list and reboots over HTTP. The list that was read last is kept with its
 * entity tag, so that reading it again costs next to nothing until it changes.
 */
public final class HttpHostPlatform implements HostPlatform {
    private static final String ETAG = "ETag";
    private static final String IF_NONE_MATCH = "If-None-Match";
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final WebClient client;
    private final Duration timeout;
    private volatile Tagged latest = new Tagged("", List.of());

    private record Tagged(String tag, List<HostEntry> hosts) {}

    /**
     * Makes a client.
     *
     * @param address the host list's IP number and port
     * @param timeout how long a call may take
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

    /** Closes the connections. */
    public void close() {
        client.close();
    }

    @Override
    public Uni<List<HostEntry>> hosts() {
        Tagged known = latest;
        HttpRequest<Buffer> request = client.get("/hosts").timeout(timeout.toMillis());
        if (!known.tag().isEmpty()) {
            request.putHeader(IF_NONE_MATCH, known.tag());
        }
        return request.send()
                .onFailure()
                .transform(e -> new PlatformException("host list did not answer", e))
                .onItem()
                .transformToUni(response -> hostsOf(response, known));
    }

    @Override
    public Uni<Void> reboot(WorkerId worker, String image, String operation) {
        return client.post("/hosts/" + worker.value() + "/reboot")
                .addQueryParam("image", image)
                .addQueryParam("operation", operation)
                .timeout(timeout.toMillis())
                .send()
                .onFailure()
                .transform(e -> new PlatformException("reboot was not answered", e))
                .onItem()
                .transformToUni(HttpHostPlatform::rebootTaken);
    }

    private static Uni<Void> rebootTaken(HttpResponse<Buffer> response) {
        if (response.statusCode() == 202) {
            return Uni.createFrom().voidItem();
        }
        String text = "reboot was refused with status " + response.statusCode();
        return Uni.createFrom().failure(new PlatformException(text));
    }

    private Uni<List<HostEntry>> hostsOf(HttpResponse<Buffer> response, Tagged known) {
        if (response.statusCode() == NOT_MODIFIED && !known.tag().isEmpty()) {
            return Uni.createFrom().item(known.hosts());
        }
        if (response.statusCode() != OK) {
            String text = "host list answered with status " + response.statusCode();
            return Uni.createFrom().failure(new PlatformException(text));
        }
        try {
            JsonArray array = response.bodyAsJsonObject().getJsonArray("hosts");
            List<HostEntry> hosts = new ArrayList<>(array.size());
            for (int i = 0; i < array.size(); i++) {
                hosts.add(hostOf(array.getJsonObject(i)));
            }
            String tag = response.getHeader(ETAG);
            latest = new Tagged(tag == null ? "" : tag, List.copyOf(hosts));
            return Uni.createFrom().item(hosts);
        } catch (RuntimeException | UnknownHostException e) {
            return Uni.createFrom().failure(new PlatformException("host list is malformed", e));
        }
    }

    private static HostEntry hostOf(JsonObject json) throws UnknownHostException {
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(json.getString("ip"));
        if (ip == null) {
            throw new UnknownHostException("not an IP number: " + json.getString("ip"));
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
