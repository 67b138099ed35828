package org.crocusgrade.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Supplier;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerNode;

/** The metrics of the daemon, in a registry of their own. */
public final class DaemonMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers =
            Counter.builder()
                    .name("crocusgrade_answers")
                    .help("Final answers by service and reason.")
                    .labelNames("service", "reason")
                    .register(registry);
    private final Counter retries =
            Counter.builder()
                    .name("crocusgrade_retries")
                    .help("Attempts tried again, by service and how the attempt before ended.")
                    .labelNames("service", "end")
                    .register(registry);
    private final Counter ejections =
            Counter.builder()
                    .name("crocusgrade_workers_taken_out")
                    .help("Times that a worker was kept off because it fails what it starts.")
                    .labelNames("service")
                    .register(registry);
    private final Counter drops =
            Counter.builder()
                    .name("crocusgrade_peer_drops")
                    .help("Frames and connections between daemons dropped, by reason.")
                    .labelNames("reason")
                    .register(registry);
    private final Gauge configVersion =
            Gauge.builder()
                    .name("crocusgrade_config_version")
                    .help("Version of the configuration in force at this daemon.")
                    .register(registry);
    private final Gauge racksOwned =
            Gauge.builder()
                    .name("crocusgrade_racks_owned")
                    .help("Racks that this daemon owns.")
                    .register(registry);

    /** Counts a final answer. */
    public void answered(ServiceId service, Reason reason) {
        answers.labelValues(service.value(), reason.code).inc();
    }

    /** Counts a retry. */
    public void retried(ServiceId service, RunEnd end) {
        retries.labelValues(service.value(), label(end.name())).inc();
    }

    /** Counts an ejection of a worker whose recent attempts failed. */
    public void ejected(ServiceId service) {
        ejections.labelValues(service.value()).inc();
    }

    /** Counts a dropped frame or connection between daemons. */
    public void dropped(FrameDropReason reason) {
        drops.labelValues(reason.code).inc();
    }

    /** Sets the version of the configuration in force. */
    public void setConfigVersion(long version) {
        configVersion.set(version);
    }

    /**
     * Registers counters of the messages and bytes that were sent to other daemons.
     *
     * @param totals supplies the totals at each scrape
     */
    public void registerLinkTotals(Supplier<PeerNode.LinkTotals> totals) {
        CounterWithCallback.builder()
                .name("crocusgrade_peer_sent_messages")
                .help("Messages sent to other daemons.")
                .callback(counter -> counter.call(totals.get().messages()))
                .register(registry);
        CounterWithCallback.builder()
                .name("crocusgrade_peer_sent_bytes")
                .help("Bytes of messages sent to other daemons.")
                .callback(counter -> counter.call(totals.get().bytes()))
                .register(registry);
    }

    /** Sets the number of racks owned. */
    public void setRacksOwned(int racks) {
        racksOwned.set(racks);
    }

    /** Returns the registry, for components that register metrics of their own. */
    public PrometheusRegistry registry() {
        return registry;
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("cannot write the metrics to a byte array", e);
        }
        return out.toByteArray();
    }

    private static String label(String constant) {
        return constant.toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
