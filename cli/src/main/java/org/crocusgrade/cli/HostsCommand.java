package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Locale;

/** {@code hosts}: prints each worker with its rack, zone, pool, state and owner. */
final class HostsCommand extends BaseReadCommand {
    HostsCommand() {
        super("hosts", "Shows each worker with its rack, zone, pool, state and owner.");
    }

    @Override
    ExitCode show(Invocation invocation, FleetSnapshot fleet) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        Table table = new Table("WORKER", "RACK", "ZONE", "POOL", "TARGET", "STATE", "OWNER");
        for (FleetSnapshot.Host h : fleet.hosts()) {
            table.row(
                    h.worker().worker(),
                    h.rack().rack(),
                    h.rack().zone(),
                    h.worker().pool(),
                    h.isMoving() ? h.worker().target() : null,
                    state(h),
                    h.owner());
            array.addObject()
                    .put("worker", h.worker().worker().value())
                    .put("rack", h.rack().rack().value())
                    .put("zone", h.rack().zone().value())
                    .put("pool", h.worker().pool().value())
                    .put("target", h.worker().target().value())
                    .put("state", state(h))
                    .put("owner", h.owner());
        }
        invocation.print(array, table.toString());
        return ExitCode.DONE;
    }

    /** Returns a worker's state as printed, in lower case. */
    static String state(FleetSnapshot.Host host) {
        return host.worker().state().name().toLowerCase(Locale.ROOT);
    }
}
