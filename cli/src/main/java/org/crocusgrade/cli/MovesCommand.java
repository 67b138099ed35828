package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * {@code moves}: prints the workers that are moving to another pool, and the planner's latest
 * decisions.
 */
final class MovesCommand extends BaseReadCommand {
    MovesCommand() {
        super("moves", "Shows workers that are moving to another pool, and the planner's reasons.");
    }

    @Override
    ExitCode show(Invocation invocation, FleetSnapshot fleet) {
        ObjectNode node = Invocation.JSON.createObjectNode();
        ArrayNode underWay = node.putArray("underWay");
        Table table = new Table("WORKER", "FROM", "TO", "STATE", "OWNER");
        for (FleetSnapshot.Host h : fleet.hosts()) {
            if (!h.isMoving()) {
                continue;
            }
            table.row(
                    h.worker().worker(),
                    h.worker().pool(),
                    h.worker().target(),
                    HostsCommand.state(h),
                    h.owner());
            underWay.addObject()
                    .put("worker", h.worker().worker().value())
                    .put("from", h.worker().pool().value())
                    .put("to", h.worker().target().value())
                    .put("state", HostsCommand.state(h))
                    .put("owner", h.owner());
        }
        ArrayNode decided = node.putArray("decided");
        Table decisions = new Table("AT", "WORKER", "FROM", "TO", "REASON");
        JsonNode planner = fleet.section("planner").orElse(Invocation.JSON.missingNode());
        for (JsonNode move : planner.path("moves")) {
            decided.add(move);
            decisions.row(
                    move.path("at").asText(),
                    move.path("worker").asText(),
                    move.path("from").asText(),
                    move.path("to").asText(),
                    move.path("reason").asText());
        }
        String text = underWay.isEmpty() ? "no worker is moving\n" : table.toString();
        String latest = decided.isEmpty() ? "" : "\nlatest decisions\n" + decisions;
        invocation.print(node, text + latest);
        return ExitCode.DONE;
    }
}
