package org.crocusgrade.daemon.ops;

import io.vertx.core.json.JsonObject;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.daemon.edge.FlowTable;
import org.crocusgrade.daemon.edge.ServiceFlow;

/** The section of the status page on each service's flow. */
public final class ServicesPage {
    private ServicesPage() {}

    /** Returns queued and running requests, wanted and held slots, by service. */
    public static JsonObject of(FlowTable table, SlotPool slots) {
        JsonObject services = new JsonObject();
        for (ServiceFlow flow : table.flows().values()) {
            services.put(
                    flow.config().service().value(),
                    new JsonObject()
                            .put("queued", flow.queued())
                            .put("running", flow.running())
                            .put("wantedSlots", flow.wantedSlots())
                            .put("heldSlots", slots.held(flow.config().pool())));
        }
        return services;
    }

    /**
     * Returns whether any service has queued requests while the daemon holds no slot in its pool.
     */
    public static boolean waitsWithoutSlots(FlowTable table, SlotPool slots) {
        return table.flows().values().stream()
                .anyMatch(flow -> flow.queued() > 0 && slots.held(flow.config().pool()) == 0);
    }
}
