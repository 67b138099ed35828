package org.crocusgrade.standin.hosts;

import io.vertx.core.json.JsonObject;
import org.crocusgrade.core.port.HostEntry;

/** Encodes hosts in the JSON format of the host list. */
public final class HostJson {
    private HostJson() {}

    /** Returns the host list's JSON object for a host. */
    public static JsonObject toJson(HostEntry host) {
        return new JsonObject()
                .put("worker", host.worker().value())
                .put("ip", host.address().getAddress().getHostAddress())
                .put("port", host.address().getPort())
                .put("rack", host.rack().value())
                .put("zone", host.zone().value())
                .put("state", host.state().name().toLowerCase())
                .put("cores", host.cores())
                .put("memoryBytes", host.memoryBytes())
                .put("accelerators", host.accelerators())
                .put("slots", host.slots())
                .put("connections", host.connections())
                .put("image", host.image());
    }
}
