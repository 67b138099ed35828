package org.crocusgrade.daemon.ops;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.crocusgrade.core.port.Clock;

/**
 * Records since when each condition holds. Conditions are evaluated only when {@link #update} is
 * called, so the times are those of the updates.
 */
public final class ConditionMonitor {
    private final Clock clock;
    private final Gauge gauge;
    private final Map<Condition, BooleanSupplier> checks = new EnumMap<>(Condition.class);
    private final Map<Condition, Instant> since = new EnumMap<>(Condition.class);

    /** Creates a monitor without checks and registers its metric. */
    public ConditionMonitor(Clock clock, PrometheusRegistry registry) {
        this.clock = clock;
        gauge =
                Gauge.builder()
                        .name("crocusgrade_condition")
                        .help("1 while a condition holds that needs a look, by condition.")
                        .labelNames("condition")
                        .register(registry);
    }

    /** Sets the check that detects a condition. */
    public synchronized ConditionMonitor check(Condition condition, BooleanSupplier check) {
        checks.put(condition, check);
        return this;
    }

    /** Evaluates every condition that has a check and updates the metric. */
    public synchronized void update() {
        checks.forEach(
                (condition, check) -> {
                    boolean holds = check.getAsBoolean();
                    gauge.labelValues(condition.code).set(holds ? 1 : 0);
                    if (holds) {
                        since.putIfAbsent(condition, clock.now());
                    } else {
                        since.remove(condition);
                    }
                });
    }

    /** Returns the conditions that hold, with code, start time and text. */
    public synchronized JsonArray json() {
        JsonArray array = new JsonArray();
        since.forEach(
                (condition, start) ->
                        array.add(
                                new JsonObject()
                                        .put("code", condition.code)
                                        .put("since", start.toString())
                                        .put("text", condition.text)));
        return array;
    }
}
