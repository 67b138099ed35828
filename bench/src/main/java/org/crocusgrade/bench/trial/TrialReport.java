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
import org.crocusgrade.bench.guarantee.CheckResult;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.load.CallRecord;

/** The results of a trial. */
public final class TrialReport {
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    private final List<ServiceStats> serviceStats;
    private final int moves;
    private final double idleWorkers;
    private final Optional<Duration> rollout;
    private final List<CheckResult> results;

    /**
     * Creates a report.
     *
     * @param calls every call that ended
     * @param moves how often a worker changed its pool
     * @param idleWorkers the mean number of idle workers in pools other than the spare one
     * @param rollout how long the configuration published midway took to be in force everywhere;
     *     empty if that was not seen at every daemon
     * @param results the results of the guarantee checks
     */
    public TrialReport(
            List<CallRecord> calls,
            int moves,
            double idleWorkers,
            Optional<Duration> rollout,
            List<CheckResult> results) {
        Map<ServiceId, ServiceStats> byService = new TreeMap<>();
        for (CallRecord call : calls) {
            byService.computeIfAbsent(call.service(), ServiceStats::new).add(call);
        }
        this.serviceStats = new ArrayList<>(byService.values());
        this.moves = moves;
        this.idleWorkers = idleWorkers;
        this.rollout = rollout;
        this.results = List.copyOf(results);
    }

    /** Returns how many cases violated a guarantee. */
    public long breaches() {
        return results.stream().mapToLong(CheckResult::violated).sum();
    }

    /** Returns how many calls completed. */
    public int completed() {
        return serviceStats.stream().mapToInt(stats -> stats.completed).sum();
    }

    /** Returns how often a worker changed its pool. */
    public int moves() {
        return moves;
    }

    /** Returns the results of the guarantee checks. */
    public List<CheckResult> results() {
        return results;
    }

    /** Returns the report as one JSON object. */
    public JsonObject toJson() {
        JsonArray promises = new JsonArray();
        for (CheckResult result : results) {
            promises.add(
                    new JsonObject()
                            .put("name", result.name())
                            .put("checked", result.checked())
                            .put("broken", result.violated())
                            .put("examples", new JsonArray(result.examples())));
        }
        return callsToJson()
                .put("moves", moves)
                .put("bufferCost", idleWorkers)
                .put("rollOutSeconds", rollout.map(t -> t.toMillis() / 1000.0).orElse(null))
                .put("promises", promises);
    }

    /** Returns the calls' outcomes by service as one JSON object. */
    public JsonObject callsToJson() {
        JsonArray services = new JsonArray();
        serviceStats.forEach(stats -> services.add(toJson(stats)));
        return new JsonObject().put("services", services);
    }

    private static JsonObject toJson(ServiceStats stats) {
        return new JsonObject()
                .put("name", stats.service.value())
                .put("sent", stats.sent)
                .put("completed", stats.completed)
                .put("notRun", new JsonObject(new TreeMap<>(stats.notRun)))
                .put("unknown", new JsonObject(new TreeMap<>(stats.unknown)))
                .put("givenUp", stats.givenUp)
                .put("unanswered", stats.unanswered)
                .put("waitP50Ms", stats.waitMillis(MEDIAN))
                .put("waitP99Ms", stats.waitMillis(TAIL));
    }

    /** Returns the calls' outcomes by service as a text table. */
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
        for (ServiceStats stats : serviceStats) {
            line(
                    text,
                    "%-18s %8d %10d %8d %8d %9d %11d %6.0f ms %6.0f ms",
                    stats.service,
                    stats.sent,
                    stats.completed,
                    stats.notRunCount(),
                    stats.unknownCount(),
                    stats.givenUp,
                    stats.unanswered,
                    stats.waitMillis(MEDIAN),
                    stats.waitMillis(TAIL));
            stats.notRun.forEach((why, n) -> line(text, "%20s not run: %s %d", "", why, n));
            stats.unknown.forEach((why, n) -> line(text, "%20s unknown: %s %d", "", why, n));
        }
        return text.toString();
    }

    /** Returns the report as text tables. */
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
        for (CheckResult result : results) {
            line(text, "%-26s %9d %8d", result.name(), result.checked(), result.violated());
            result.examples().forEach(example -> line(text, "    %s", example));
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
    }
}
