package org.crocusgrade.bench.trial;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.bench.promise.Verdict;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.load.CallRecord;

/** What a trial showed. */
public final class TrialReport {
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;

    private final List<ServiceRow> rows;
    private final int moves;
    private final double idleWorkers;
    private final Optional<Duration> rollout;
    private final List<Verdict> verdicts;

    /**
     * Makes a report.
     *
     * @param calls every call that ended
     * @param moves how often a worker changed its pool
     * @param idleWorkers the workers idle in pools that are not spare, on average
     * @param rollout how long the configuration published midway took to be in force everywhere
     * @param verdicts what the checks of the promises found
     */
    public TrialReport(
            List<CallRecord> calls,
            int moves,
            double idleWorkers,
            Optional<Duration> rollout,
            List<Verdict> verdicts) {
        Map<ServiceId, ServiceRow> byService = new TreeMap<>();
        for (CallRecord call : calls) {
            byService.computeIfAbsent(call.service(), ServiceRow::new).add(call);
        }
        this.rows = new ArrayList<>(byService.values());
        this.moves = moves;
        this.idleWorkers = idleWorkers;
        this.rollout = rollout;
        this.verdicts = List.copyOf(verdicts);
    }

    /** Returns how many cases broke a promise. */
    public long breaches() {
        return verdicts.stream().mapToLong(Verdict::broken).sum();
    }

    /** Returns how many calls completed. */
    public int completed() {
        return rows.stream().mapToInt(row -> row.completed).sum();
    }

    /** Returns how often a worker changed its pool. */
    public int moves() {
        return moves;
    }

    /** Returns what the checks of the promises found. */
    public List<Verdict> verdicts() {
        return verdicts;
    }

    /** Returns the report as one JSON object. */
    public JsonObject toJson() {
        JsonArray promises = new JsonArray();
        for (Verdict verdict : verdicts) {
            promises.add(
                    new JsonObject()
                            .put("name", verdict.name())
                            .put("checked", verdict.checked())
                            .put("broken", verdict.broken())
                            .put("examples", new JsonArray(verdict.examples())));
        }
        return callsToJson()
                .put("moves", moves)
                .put("bufferCost", idleWorkers)
                .put("rollOutSeconds", rollout.map(t -> t.toMillis() / 1000.0).orElse(null))
                .put("promises", promises);
    }

    /** Returns what the callers were told as one JSON object. */
    public JsonObject callsToJson() {
        JsonArray services = new JsonArray();
        rows.forEach(row -> services.add(toJson(row)));
        return new JsonObject().put("services", services);
    }

    private static JsonObject toJson(ServiceRow row) {
        return new JsonObject()
                .put("name", row.service.value())
                .put("sent", row.sent)
                .put("completed", row.completed)
                .put("notRun", new JsonObject(new TreeMap<>(row.notRun)))
                .put("unknown", new JsonObject(new TreeMap<>(row.unknown)))
                .put("givenUp", row.givenUp)
                .put("unanswered", row.unanswered)
                .put("waitP50Ms", row.waitMillis(MEDIAN))
                .put("waitP99Ms", row.waitMillis(HIGH));
    }

    /** Returns what the callers were told, for people. */
    public String callsToText() {
        StringBuilder text = new StringBuilder();
        line(
                text,
                "%-18s %8s %10s %8s %8s %9s %11s %9s %9s",
                "service",
                "sent",
                "completed",
                "not run",
                "unknown",
                "given up",
                "no answer",
                "p50 wait",
                "p99 wait");
        for (ServiceRow row : rows) {
            line(
                    text,
                    "%-18s %8d %10d %8d %8d %9d %11d %6.0f ms %6.0f ms",
                    row.service,
                    row.sent,
                    row.completed,
                    row.notRunCount(),
                    row.unknownCount(),
                    row.givenUp,
                    row.unanswered,
                    row.waitMillis(MEDIAN),
                    row.waitMillis(HIGH));
            row.notRun.forEach((why, n) -> line(text, "%20s not run: %s %d", "", why, n));
            row.unknown.forEach((why, n) -> line(text, "%20s unknown: %s %d", "", why, n));
        }
        return text.toString();
    }

    /** Returns the report for people. */
    public String toText() {
        StringBuilder text = new StringBuilder(callsToText());
        line(text, "");
        line(text, "host moves   %d", moves);
        line(text, "buffer cost  %.1f idle workers outside the spare pool, mean", idleWorkers);
        line(
                text,
                "roll-out     %s",
                rollout.map(t -> String.format(Locale.ROOT, "%.3f s", t.toMillis() / 1000.0))
                        .orElse("not seen at every daemon"));
        line(text, "");
        line(text, "%-26s %9s %8s", "promise", "checked", "broken");
        for (Verdict verdict : verdicts) {
            line(text, "%-26s %9d %8d", verdict.name(), verdict.checked(), verdict.broken());
            verdict.examples().forEach(example -> line(text, "    %s", example));
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
    }
}
