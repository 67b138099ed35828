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
 * The course of one submission, from the log lines of all daemons: the lines that concern it; the
 * lines about the workers that ran it and about the ownership of its pools, from the time between
 * its first and its last line; the times in which tasks of its customer waited for the customer's
 * cap; and findings about the likely cause of its outcome.
 */
final class SubmissionTrace {
    private static final Set<String> WORKER_EVENTS =
            Set.of("worker-silent", "worker-lapsed", "worker-gone", "worker-crashed");
    private static final Set<String> OWNERSHIP_EVENTS =
            Set.of("duty-gained", "duty-lost", "pool-settled");

    /** Number of failed runs of one task from which on the task itself is the likely cause. */
    private static final int FAILED_RUNS = 2;

    private final List<LogLine> lines = new ArrayList<>();
    private final List<CapWait> capWaits = new ArrayList<>();
    private final Set<LogLine> capLines = new HashSet<>();
    private final Set<String> findings = new LinkedHashSet<>();

    private SubmissionTrace() {}

    /** Extracts the trace of a submission; empty if no line concerns it. */
    static Optional<SubmissionTrace> of(String submission, List<LogLine> all) {
        List<LogLine> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparing(LogLine::time));
        List<LogLine> own = sorted.stream().filter(l -> l.concerns(submission)).toList();
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
        SubmissionTrace trace = new SubmissionTrace();
        customer(own).ifPresent(c -> trace.addCapWaits(CapWait.of(c, pools, sorted), own));
        for (LogLine line : sorted) {
            boolean during = line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0;
            boolean ofWorker =
                    WORKER_EVENTS.contains(line.event()) && workers.contains(line.get("worker"));
            boolean ofOwner =
                    OWNERSHIP_EVENTS.contains(line.event())
                            && (pools.contains(line.get("pool"))
                                    || pools.contains(line.get("duty").replace("pool.", "")));
            boolean ofCap = trace.capLines.contains(line);
            if (line.concerns(submission) || ofCap || during && (ofWorker || ofOwner)) {
                trace.lines.add(line);
            }
        }
        trace.deriveFindings();
        return Optional.of(trace);
    }

    /**
     * Returns the customer of a submission. Calls that were not successful do not count: they may
     * be those of another customer that used the same id.
     */
    private static Optional<String> customer(List<LogLine> own) {
        return own.stream()
                .filter(l -> l.event().equals("request-answered") && l.get("status").equals("200"))
                .map(l -> l.get("customer"))
                .filter(c -> !c.isEmpty() && !c.equals("-"))
                .findFirst();
    }

    /** Adds the waits between the acceptance of a submission and its end. */
    private void addCapWaits(List<CapWait> waits, List<LogLine> own) {
        String accepted = firstTime(own, "submission-accepted").orElse(own.get(0).time());
        Optional<String> ended = firstTime(own, "submission-ended");
        for (CapWait wait : waits) {
            if (wait.overlaps(accepted, ended)) {
                capWaits.add(wait);
                capLines.add(wait.started());
                wait.ended().ifPresent(capLines::add);
            }
        }
    }

    private static Optional<String> firstTime(List<LogLine> lines, String event) {
        return lines.stream().filter(l -> l.event().equals(event)).map(LogLine::time).findFirst();
    }

    List<LogLine> lines() {
        return lines;
    }

    /**
     * Returns the findings: tasks that failed repeatedly, then the others in the order of the
     * lines.
     */
    List<String> findings() {
        return List.copyOf(findings);
    }

    private void deriveFindings() {
        addFailedTasks();
        addCrashes();
        for (LogLine line : lines) {
            switch (line.event()) {
                case "submission-refused" -> addRefusal(line);
                case "request-answered" -> addAnswer(line);
                case "worker-lapsed" ->
                        findings.add(
                                "worker %s did not respond; tasks waited for its leases to expire"
                                        .formatted(line.get("worker")));
                case "cap-wait-started" -> addCapWait(line);
                case "task-given-up" ->
                        findings.add(
                                ("task %s was given up after %s crashes of its workers; it was the"
                                                + " only possible cause of %s")
                                        .formatted(
                                                line.get("task"),
                                                line.get("crashes"),
                                                line.get("sole-cause")));
                case "duty-gained" ->
                        findings.add(
                                "the owner of the pool changed at %s (term %s)"
                                        .formatted(line.time(), line.get("term")));
                case "pool-settled" -> addSettlement(line);
                case "run-not-started" ->
                        findings.add(
                                "the start of a run on %s was answered with %s"
                                        .formatted(line.get("worker"), line.get("answer")));
                case "submission-ended" ->
                        findings.add(
                                "the submission ended as %s after %s ms"
                                        .formatted(line.get("state"), line.get("after-ms")));
                default -> {
                    // Other lines are listed, but lead to no finding.
                }
            }
        }
        if (findings.isEmpty()) {
            findings.add("no unusual events in these lines");
        }
    }

    private void addRefusal(LogLine line) {
        if (line.get("reason").equals("backlog")) {
            findings.add(
                    "refused: backlog of %s core-ms on %s cores, retry after %s s"
                            .formatted(
                                    line.get("backlog-core-ms"),
                                    line.get("batch-cores"),
                                    line.get("retry-after-s")));
            return;
        }
        findings.add("refused: " + line.get("reason"));
    }

    private void addAnswer(LogLine line) {
        if (line.get("status").equals("504")) {
            findings.add(
                    "no answer in time: %s; the submission may have been accepted"
                            .formatted(line.get("reason")));
        } else if (line.get("status").equals("503") && !line.get("reason").equals("backlog")) {
            findings.add("not accepted: " + line.get("reason"));
        }
    }

    private void addCapWait(LogLine line) {
        Optional<String> firstRun = firstTime(lines, "run-ordered");
        capWaits.stream()
                .filter(w -> w.started().equals(line))
                .forEach(w -> findings.add(w.describe(firstRun)));
    }

    private void addSettlement(LogLine line) {
        if (line.get("fenced").equals("false")) {
            findings.add(
                    "the new owner could not query every worker and waited %s ms"
                            .formatted(line.get("after-ms")));
        }
    }

    /** Names the tasks that may have crashed their workers; others have no such lines. */
    private void addCrashes() {
        Map<String, Set<String>> crashedUnder = new TreeMap<>();
        for (LogLine line : lines) {
            if (line.event().equals("crash-counted")) {
                crashedUnder
                        .computeIfAbsent(line.get("task"), t -> new TreeSet<>())
                        .add(line.get("worker"));
            }
        }
        crashedUnder.forEach(
                (task, workers) ->
                        findings.add(
                                "workers crashed under task %s: %s; it may be the cause"
                                        .formatted(task, String.join(", ", workers))));
    }

    private void addFailedTasks() {
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
