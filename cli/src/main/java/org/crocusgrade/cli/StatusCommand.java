package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** {@code status}: what is wrong and since when, then every daemon. */
final class StatusCommand extends BaseReadCommand {
    StatusCommand() {
        super("status", "Shows what is wrong and since when, then every daemon.");
    }

    @Override
    ExitCode show(Invocation call, Fleet fleet) {
        List<FleetProblem> problems = FleetProblem.find(fleet);
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("published", fleet.config().head().version().value());
        ArrayNode wrong = node.putArray("problems");
        Table what = new Table("PROBLEM", "SINCE", "WHERE", "TEXT");
        for (FleetProblem p : problems) {
            what.row(p.code(), p.since(), p.where(), p.text());
            wrong.addObject()
                    .put("code", p.code())
                    .put("since", p.since())
                    .put("where", p.where())
                    .put("text", p.text());
        }
        ArrayNode daemons = node.putArray("daemons");
        Table table = new Table("DAEMON", "ZONE", "READY", "VERSION", "RACKS", "QUEUED", "RUNNING");
        for (Daemons.Answer answer : fleet.daemons()) {
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
                        ? "all well: version %d, %d daemons%n"
                                .formatted(
                                        fleet.config().head().version().value(),
                                        fleet.daemons().size())
                        : what + "\n";
        call.print(node, head + "\n" + table);
        return ExitCode.DONE;
    }

    private static Long sum(JsonNode page, String figure) {
        if (page.isMissingNode()) {
            return null;
        }
        long sum = 0;
        for (JsonNode service : page.path("services")) {
            sum += service.path(figure).asLong(0);
        }
        return sum;
    }
}
