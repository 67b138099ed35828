package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * {@code status}: prints the current problems and when they began, then the status of every daemon.
 */
final class StatusCommand extends BaseReadCommand {
    StatusCommand() {
        super("status", "Shows problems and when they began, then the status of every daemon.");
    }

    @Override
    ExitCode show(Invocation invocation, FleetSnapshot fleet) {
        List<FleetProblem> problems = FleetProblem.find(fleet);
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("published", fleet.config().head().version().value());
        ArrayNode problemNodes = node.putArray("problems");
        Table problemTable = new Table("PROBLEM", "SINCE", "WHERE", "TEXT");
        for (FleetProblem p : problems) {
            problemTable.row(p.code(), p.since(), p.where(), p.text());
            problemNodes
                    .addObject()
                    .put("code", p.code())
                    .put("since", p.since())
                    .put("where", p.where())
                    .put("text", p.text());
        }
        ArrayNode daemons = node.putArray("daemons");
        Table table = new Table("DAEMON", "ZONE", "READY", "VERSION", "RACKS", "QUEUED", "RUNNING");
        for (DaemonClient.Reply answer : fleet.daemons()) {
            JsonNode page = answer.page().orElse(Invocation.JSON.missingNode());
            table.row(
                    answer.member().daemon(),
                    answer.member().zone(),
                    answer.page().isEmpty() ? null : page.path("ready").asBoolean() ? "yes" : "no",
                    page.path("configVersion").asText(),
                    page.path("racksOwned").asText(),
                    sum(page, "queued"),
                    sum(page, "running"));
            daemons.addObject()
                    .put("daemon", answer.member().daemon().value())
                    .put("zone", answer.member().zone().value())
                    .put("answered", answer.page().isPresent())
                    .set("status", answer.page().orElse(Invocation.JSON.nullNode()));
        }
        String head =
                problems.isEmpty()
                        ? "no problems: version %d, %d daemons%n"
                                .formatted(
                                        fleet.config().head().version().value(),
                                        fleet.daemons().size())
                        : problemTable + "\n";
        invocation.print(node, head + "\n" + table);
        return ExitCode.DONE;
    }

    private static Long sum(JsonNode page, String field) {
        if (page.isMissingNode()) {
            return null;
        }
        long sum = 0;
        for (JsonNode service : page.path("services")) {
            sum += service.path(field).asLong(0);
        }
        return sum;
    }
}
