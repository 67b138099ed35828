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
 * {@code explain REASON|HOST|ID}: what a reason means, what a worker does and why, or what became
 * of a submission according to the daemons' logs.
 */
final class ExplainCommand implements Command {
    private static final Option<String> SUBJECT =
            Option.required(
                    "SUBJECT", Forms.text("a reason, a worker or a submission"), "what to explain");

    private static final Option<Path> LOGS =
            Option.any("--logs", Forms.file(), "the daemons' logs, for a submission");

    /** What stands at the head of each line that is told. */
    private static final Set<String> HEAD = Set.of("ts", "level", "code", "event");

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String help() {
        return "Explains a reason that callers are given, what a worker does and why, or what"
                + " became of a submission.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(SUBJECT, LOGS, CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation call) throws CliException {
        String subject = call.get(SUBJECT);
        if (!call.all(LOGS).isEmpty()) {
            return explainSubmission(call, subject);
        }
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

    private static ExitCode explainSubmission(Invocation call, String id) throws CliException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : call.all(LOGS)) {
            String source = file.getFileName().toString();
            try (Stream<String> read = Files.lines(file, StandardCharsets.UTF_8)) {
                read.forEach(l -> LogLine.parse(source, l).ifPresent(lines::add));
            } catch (IOException | UncheckedIOException e) {
                throw new CliException(CliMessage.UNREADABLE_FILE, file, e.getMessage());
            }
        }
        LogStory story =
                LogStory.of(id, lines)
                        .orElseThrow(
                                () -> new CliException(CliMessage.NOT_IN_LOGS, id, lines.size()));
        ObjectNode node = Invocation.JSON.createObjectNode().put("submission", id);
        ArrayNode told = node.putArray("lines");
        StringBuilder text = new StringBuilder();
        for (LogLine line : story.lines()) {
            ObjectNode each = told.addObject().put("source", line.source());
            StringBuilder rest = new StringBuilder();
            new TreeMap<>(line.fields())
                    .forEach(
                            (key, value) -> {
                                each.put(key, value);
                                if (!HEAD.contains(key)) {
                                    rest.append(' ').append(key).append('=').append(quoted(value));
                                }
                            });
            text.append("%s %s %s%s%n".formatted(line.time(), line.source(), line.event(), rest));
        }
        ArrayNode findings = node.putArray("findings");
        for (String finding : story.findings()) {
            findings.add(finding);
            text.append("finding: ").append(finding).append(System.lineSeparator());
        }
        call.print(node, text.toString().stripTrailing());
        return ExitCode.DONE;
    }

    private static String quoted(String value) {
        return value.contains(" ") ? '"' + value + '"' : value;
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
