package org.crocusgrade.daemon.ops;

import io.vertx.core.json.JsonObject;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.daemon.edge.FlowTable;
import org.crocusgrade.daemon.edge.ServiceFlow;

/** What operators are shown of each service's queue. */
public final class ServicesPage {
    private ServicesPage() {}

    /** Returns each service's figures. */
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

    /** Returns whether requests of any service wait while no slot is held for them. */
    public static boolean waitsWithoutSlots(FlowTable table, SlotPool slots) {
        return table.flows().values().stream()
                .anyMatch(flow -> flow.queued() > 0 && slots.held(flow.config().pool()) == 0);
    }
}
