package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * {@code explain REASON|HOST|ID}: explains a reason code, the state of a worker and the planner's
 * decisions about it, or the course of a submission according to the daemons' logs.
 */
final class ExplainCommand implements Command {
    private static final Option<String> SUBJECT =
            Option.required(
                    "SUBJECT",
                    ArgumentValueParsers.text("a reason, a worker or a submission"),
                    "what to explain");

    private static final Option<Path> LOGS =
            Option.any(
                    "--logs", ArgumentValueParsers.file(), "the daemons' logs, for a submission");

    /**
     * Keys that are omitted from the fields of a printed line: the line starts with the time and
     * the event, and its level and code are not printed.
     */
    private static final Set<String> HEADER_KEYS = Set.of("ts", "level", "code", "event");

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String help() {
        return "Explains a reason code that callers receive, a worker's state and moves, or the"
                + " course of a submission.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(SUBJECT, LOGS, CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        String subject = invocation.get(SUBJECT);
        if (!invocation.all(LOGS).isEmpty()) {
            return explainSubmission(invocation, subject);
        }
        Optional<Advice> advice = Advice.of(subject);
        if (advice.isPresent()) {
            return explainReason(invocation, advice.get());
        }
        FleetSnapshot fleet;
        try (PlatformAccess platform = invocation.platform()) {
            fleet = FleetSnapshot.read(platform);
        }
        for (FleetSnapshot.Host host : fleet.hosts()) {
            if (host.worker().worker().value().equals(subject)) {
                return explainHost(invocation, fleet, host);
            }
        }
        String reasons =
                Arrays.stream(Advice.values())
                        .map(a -> a.reason.code)
                        .collect(Collectors.joining(", "));
        throw new CliException(CliMessage.NOT_FOUND, subject, reasons);
    }

    private static ExitCode explainSubmission(Invocation invocation, String id)
            throws CliException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : invocation.all(LOGS)) {
            String source = file.getFileName().toString();
            try (Stream<String> read = Files.lines(file, StandardCharsets.UTF_8)) {
                read.forEach(l -> LogLine.parse(source, l).ifPresent(lines::add));
            } catch (IOException | UncheckedIOException e) {
                throw new CliException(CliMessage.UNREADABLE_FILE, file, e.getMessage());
            }
        }
        SubmissionTrace trace =
                SubmissionTrace.of(id, lines)
                        .orElseThrow(
                                () -> new CliException(CliMessage.NOT_IN_LOGS, id, lines.size()));
        ObjectNode node = Invocation.JSON.createObjectNode().put("submission", id);
        ArrayNode lineNodes = node.putArray("lines");
        StringBuilder text = new StringBuilder();
        for (LogLine line : trace.lines()) {
            ObjectNode lineNode = lineNodes.addObject().put("source", line.source());
            StringBuilder rest = new StringBuilder();
            new TreeMap<>(line.fields())
                    .forEach(
                            (key, value) -> {
                                lineNode.put(key, value);
                                if (!HEADER_KEYS.contains(key)) {
                                    rest.append(' ').append(key).append('=').append(quoted(value));
                                }
                            });
            text.append("%s %s %s%s%n".formatted(line.time(), line.source(), line.event(), rest));
        }
        ArrayNode findings = node.putArray("findings");
        for (String finding : trace.findings()) {
            findings.add(finding);
            text.append("finding: ").append(finding).append(System.lineSeparator());
        }
        invocation.print(node, text.toString().stripTrailing());
        return ExitCode.DONE;
    }

    private static String quoted(String value) {
        return value.contains(" ") ? '"' + value + '"' : value;
    }

    private static ExitCode explainReason(Invocation invocation, Advice advice) {
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("reason", advice.reason.code);
        node.put("outcome", advice.reason.outcome.word);
        node.put("status", advice.reason.status);
        node.put("meaning", advice.reason.text);
        node.put("advice", advice.text);
        invocation.print(
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

    private static ExitCode explainHost(
            Invocation invocation, FleetSnapshot fleet, FleetSnapshot.Host host) {
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
        JsonNode planner = fleet.section("planner").orElse(Invocation.JSON.missingNode());
        for (JsonNode move : planner.path("moves")) {
            if (move.path("worker").asText().equals(worker)) {
                decisions.add(move);
                text.append("decision: ").append(move).append('\n');
            }
        }
        invocation.print(node, text.toString());
        return ExitCode.DONE;
    }
}
