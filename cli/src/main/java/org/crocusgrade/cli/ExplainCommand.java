package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** {@code explain REASON|HOST}: what a reason means, or what a worker does and why. */
final class ExplainCommand implements Command {
    private static final Option<String> SUBJECT =
            Option.required("SUBJECT", Forms.text("a reason or a worker"), "what to explain");

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String help() {
        return "Explains a reason that callers are given, or what a worker does and why.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(SUBJECT, CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation call) throws CliException {
        String subject = call.get(SUBJECT);
        Optional<Advice> advice = Advice.of(subject);
        if (advice.isPresent()) {
            return explainReason(call, advice.get());
        }
        Fleet fleet;
        try (PlatformAccess platform = call.platform()) {
            fleet = Fleet.read(platform);
        }
        for (Fleet.Host host : fleet.hosts()) {
            if (host.worker().worker().value().equals(subject)) {
                return explainHost(call, fleet, host);
            }
        }
        String reasons =
                Arrays.stream(Advice.values())
                        .map(a -> a.reason.code)
                        .collect(Collectors.joining(", "));
        throw new CliException(CliMessage.NOT_FOUND, subject, reasons);
    }

    private static ExitCode explainReason(Invocation call, Advice advice) {
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("reason", advice.reason.code);
        node.put("outcome", advice.reason.outcome.word);
        node.put("status", advice.reason.status);
        node.put("meaning", advice.reason.text);
        node.put("advice", advice.text);
        call.print(
                node,
                "%s: outcome %s, status %d%n%s%nWhat to do: %s"
                        .formatted(
                                advice.reason.code,
                                advice.reason.outcome.word,
                                advice.reason.status,
                                advice.reason.text,
                                advice.text));
        return ExitCode.DONE;
    }

    private static ExitCode explainHost(Invocation call, Fleet fleet, Fleet.Host host) {
        String worker = host.worker().worker().value();
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("worker", worker)
                .put("rack", host.rack().rack().value())
                .put("zone", host.rack().zone().value())
                .put("pool", host.worker().pool().value())
                .put("target", host.worker().target().value())
                .put("state", HostsCommand.state(host))
                .put("owner", host.owner())
                .put("epoch", host.rack().epoch().value());
        StringBuilder text = new StringBuilder();
        node.fields()
                .forEachRemaining(
                        e -> text.append("%s: %s%n".formatted(e.getKey(), e.getValue().asText())));
        ArrayNode decisions = node.putArray("decisions");
        JsonNode planner = fleet.part("planner").orElse(Invocation.JSON.missingNode());
        for (JsonNode move : planner.path("moves")) {
            if (move.path("worker").asText().equals(worker)) {
                decisions.add(move);
                text.append("decision: ").append(move).append('\n');
            }
        }
        call.print(node, text.toString());
        return ExitCode.DONE;
    }
}
