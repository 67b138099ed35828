package org.crocusgrade.daemon.ops;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.crocusgrade.daemon.edge.FlowTable;
import org.crocusgrade.daemon.edge.ServiceFlow;

/** Gauges of each service's flow, evaluated at each scrape. */
public final class FlowGauges {
    private FlowGauges() {}

    /**
     * Registers the gauges.
     *
     * @param flows supplies the table in force
     * @param slotsHeld returns the number of slots that the daemon holds in a flow's pool
     */
    public static void register(
            PrometheusRegistry registry,
            Supplier<FlowTable> flows,
            ToDoubleFunction<ServiceFlow> slotsHeld) {
        add(registry, flows, "queued", "Requests that wait at this daemon.", ServiceFlow::queued);
        add(registry, flows, "running", "Requests that run for this daemon.", ServiceFlow::running);
        add(registry, flows, "slots_held", "Slots leased to this daemon.", slotsHeld);
    }

    private static void add(
            PrometheusRegistry registry,
            Supplier<FlowTable> flows,
            String name,
            String help,
            ToDoubleFunction<ServiceFlow> value) {
        GaugeWithCallback.builder()
                .name("crocusgrade_" + name)
                .help(help)
                .labelNames("service")
                .callback(
                        callback ->
                                flows.get()
                                        .flows()
                                        .forEach(
                                                (service, flow) ->
                                                        callback.call(
                                                                value.applyAsDouble(flow),
                                                                service.value())))
                .register(registry);
    }
}
