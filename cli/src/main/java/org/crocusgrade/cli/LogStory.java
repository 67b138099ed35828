package org.crocusgrade.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What became of one submission, from the lines of all daemons: its own lines, what happened to the
 * workers that ran it and to the owner of its pool meanwhile, and what that says of the cause.
 */
final class LogStory {
    private static final Set<String> OF_WORKERS =
            Set.of("worker-silent", "worker-lapsed", "worker-gone");
    private static final Set<String> OF_OWNERS = Set.of("duty-gained", "duty-lost", "pool-settled");

    /** Runs of one task that failed from which on the task itself is the likely cause. */
    private static final int FAILED_RUNS = 2;

    private final List<LogLine> lines = new ArrayList<>();
    private final Set<String> findings = new LinkedHashSet<>();

    private LogStory() {}

    /** Tells the story of a submission; empty if no line is about it. */
    static Optional<LogStory> of(String submission, List<LogLine> all) {
        List<LogLine> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparing(LogLine::time));
        List<LogLine> own = sorted.stream().filter(l -> l.isAbout(submission)).toList();
        if (own.isEmpty()) {
            return Optional.empty();
        }
        String first = own.get(0).time();
        String last = own.get(own.size() - 1).time();
        Set<String> workers = new HashSet<>();
        Set<String> pools = new HashSet<>();
        for (LogLine line : own) {
            if (line.event().equals("run-ordered")) {
                workers.add(line.get("worker"));
            }
            if (!line.get("pool").isEmpty()) {
                pools.add(line.get("pool"));
            }
        }
        LogStory story = new LogStory();
        for (LogLine line : sorted) {
            boolean during = line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0;
            boolean ofWorker =
                    OF_WORKERS.contains(line.event()) && workers.contains(line.get("worker"));
            boolean ofOwner =
                    OF_OWNERS.contains(line.event())
                            && (pools.contains(line.get("pool"))
                                    || pools.contains(line.get("duty").replace("pool.", "")));
            if (line.isAbout(submission) || during && (ofWorker || ofOwner)) {
                story.lines.add(line);
            }
        }
        story.judge();
        return Optional.of(story);
    }

    List<LogLine> lines() {
        return lines;
    }

    /** Returns what the lines say of the cause, the first sign first. */
    List<String> findings() {
        return List.copyOf(findings);
    }

    private void judge() {
        failedTasks();
        for (LogLine line : lines) {
            switch (line.event()) {
                case "submission-refused" -> refused(line);
                case "request-answered" -> answered(line);
                case "worker-lapsed" ->
                        findings.add(
                                "worker %s fell silent; its tasks waited until its leases ran out"
                                        .formatted(line.get("worker")));
                case "duty-gained" ->
                        findings.add(
                                "the pool changed its owner at %s (term %s)"
                                        .formatted(line.time(), line.get("term")));
                case "pool-settled" -> settled(line);
                case "run-not-started" ->
                        findings.add(
                                "a start on %s was answered with %s"
                                        .formatted(line.get("worker"), line.get("answer")));
                case "submission-ended" ->
                        findings.add(
                                "it ended as %s after %s ms"
                                        .formatted(line.get("state"), line.get("after-ms")));
                default -> {
                    // The other lines are told as they are.
                }
            }
        }
        if (findings.isEmpty()) {
            findings.add("nothing unusual in these lines");
        }
    }

    private void refused(LogLine line) {
        if (line.get("reason").equals("backlog")) {
            findings.add(
                    "refused: %s core-ms of work ahead on %s cores, to come back after %s s"
                            .formatted(
                                    line.get("backlog-core-ms"),
                                    line.get("batch-cores"),
                                    line.get("retry-after-s")));
            return;
        }
        findings.add("refused: " + line.get("reason"));
    }

    private void answered(LogLine line) {
        if (line.get("status").equals("504")) {
            findings.add(
                    "no answer in time: %s; it may have been taken".formatted(line.get("reason")));
        } else if (line.get("status").equals("503") && !line.get("reason").equals("backlog")) {
            findings.add("not taken: " + line.get("reason"));
        }
    }

    private void settled(LogLine line) {
        if (line.get("fenced").equals("false")) {
            findings.add(
                    "the new owner could not ask every worker and waited %s ms"
                            .formatted(line.get("after-ms")));
        }
    }

    private void failedTasks() {
        Map<String, List<String>> failedOn = new TreeMap<>();
        for (LogLine line : lines) {
            if (line.event().equals("run-ended") && line.get("how").equals("FAILED")) {
                failedOn.computeIfAbsent(line.get("task"), t -> new ArrayList<>())
                        .add(line.get("worker"));
            }
        }
        failedOn.forEach(
                (task, workers) -> {
                    if (workers.size() >= FAILED_RUNS) {
                        findings.add(
                                "%d runs of task %s failed, on %s"
                                        .formatted(
                                                workers.size(),
                                                task,
                                                String.join(", ", new TreeSet<>(workers))));
                    }
                });
    }
}
