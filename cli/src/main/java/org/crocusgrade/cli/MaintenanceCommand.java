package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocusgrade.core.fleet.WorkerState;

/**
 * {@code maintenance}: prints the workers that are out of service, and the maintenance wave in
 * progress.
 */
final class MaintenanceCommand extends BaseReadCommand {
    MaintenanceCommand() {
        super("maintenance", "Shows workers out of service, and the maintenance wave in progress.");
    }

    @Override
    ExitCode show(Invocation invocation, FleetSnapshot fleet) {
        ObjectNode node = Invocation.JSON.createObjectNode();
        JsonNode wave = fleet.section("maintenance").orElse(Invocation.JSON.nullNode());
        node.set("wave", wave);
        ArrayNode out = node.putArray("outOfService");
        Table table = new Table("WORKER", "RACK", "ZONE", "POOL", "STATE", "OWNER");
        for (FleetSnapshot.Host h : fleet.hosts()) {
            if (h.worker().state() == WorkerState.SERVING) {
                continue;
            }
            table.row(
                    h.worker().worker(),
                    h.rack().rack(),
                    h.rack().zone(),
                    h.worker().pool(),
                    HostsCommand.state(h),
                    h.owner());
            out.addObject()
                    .put("worker", h.worker().worker().value())
                    .put("pool", h.worker().pool().value())
                    .put("state", HostsCommand.state(h));
        }
        StringBuilder text = new StringBuilder(wave.isNull() ? "no wave is under way\n" : "");
        wave.fields().forEachRemaining(e -> text.append(line(e.getKey(), e.getValue())));
        text.append(out.isEmpty() ? "all workers are in service\n" : "\n" + table);
        invocation.print(node, text.toString());
        return ExitCode.DONE;
    }

    private static String line(String key, JsonNode value) {
        return key + ": " + (value.isValueNode() ? value.asText() : value.toString()) + "\n";
    }
}
