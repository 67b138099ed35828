package org.crocusgrade.bench.experiment;

import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import org.crocusgrade.bench.process.DaemonProcess;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.ConfigHeadCodec;
import org.crocusgrade.core.port.StoreEntry;

/**
 * Measures the time from the publication of a configuration until the last daemon uses it, by the
 * number of daemons. The baseline is the same number of readers that poll the key-value service
 * once per second.
 */
final class ConfigPropagationExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(1, 2, 4, 8);
    private static final int PUBLISHES = 6;
    private static final int WORKERS = 35;
    private static final int POOLS = 5;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(5);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(700);
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "config-spread";
    }

    @Override
    public String summary() {
        return "time until a configuration reaches every daemon; baseline: readers that poll";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "daemons",
                                "median ms",
                                "max ms",
                                "polling median ms",
                                "polling max ms"));
        for (int size : SIZES) {
            progress.accept(size + " daemons");
            table.add(measure(size, seed));
        }
        return table;
    }

    private List<Double> measure(int size, long seed) throws ExperimentException {
        try (ProcessFleet fleet =
                new ProcessFleet(
                        Deployment.LAINEFLUX.region(), Deployment.LAINEFLUX.fleet(), seed)) {
            Map<String, String> files = PoolFiles.of(POOLS, WORKERS);
            fleet.publish(files);
            fleet.startDaemons(size);
            WebClient client = WebClient.create(fleet.vertx());
            AtomicLongArray polled = new AtomicLongArray(size);
            for (int i = 0; i < size; i++) {
                startPolling(fleet, polled, i, size);
            }
            double[] watchMillis = new double[PUBLISHES];
            double[] pollingMillis = new double[PUBLISHES];
            for (int i = 0; i < PUBLISHES; i++) {
                fleet.pause(PUBLISH_INTERVAL);
                publish(fleet, files, i);
                long version = fleet.published().head().version().value();
                long start = publishedNanos(fleet, version);
                watchMillis[i] = awaitAll(fleet, client, version, start);
                fleet.await("polling readers", () -> minimum(polled) >= version);
                pollingMillis[i] = (fleet.clock().nanoTime() - start) / NANOS_PER_MILLI;
            }
            client.close();
            Arrays.sort(watchMillis);
            Arrays.sort(pollingMillis);
            return List.of(
                    (double) size,
                    watchMillis[PUBLISHES / 2],
                    watchMillis[PUBLISHES - 1],
                    pollingMillis[PUBLISHES / 2],
                    pollingMillis[PUBLISHES - 1]);
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed at " + size + " daemons", e);
        }
    }

    private static void publish(ProcessFleet fleet, Map<String, String> files, int round)
            throws ProcessException {
        String file = PoolFiles.name(0) + ".ini";
        String bound = "queue-bound = " + (1001 + round);
        fleet.publish(Map.of(file, files.get(file).replace("queue-bound = 1000", bound)));
    }

    /** Returns when the stored head last changed, on the monotonic clock. */
    private static long publishedNanos(ProcessFleet fleet, long version) {
        var changes = fleet.platform().service().history(ConfigHead.KEY);
        var last = changes.get(changes.size() - 1);
        Duration ago = Duration.between(last.at(), fleet.clock().now());
        return fleet.clock().nanoTime() - ago.toNanos();
    }

    private static double awaitAll(ProcessFleet fleet, WebClient client, long version, long start)
            throws ProcessException {
        List<DaemonProcess> missing = new ArrayList<>(fleet.daemons());
        while (!missing.isEmpty()) {
            missing.removeIf(daemon -> version(client, daemon) >= version);
            if (!missing.isEmpty()) {
                fleet.pause(CHECK_INTERVAL);
            }
        }
        return (fleet.clock().nanoTime() - start) / NANOS_PER_MILLI;
    }

    private static long version(WebClient client, DaemonProcess daemon) {
        return client.get(
                        daemon.operators().getPort(),
                        daemon.operators().getAddress().getHostAddress(),
                        "/status")
                .send()
                .await()
                .atMost(TIMEOUT)
                .bodyAsJsonObject()
                .getLong("configVersion");
    }

    private static void startPolling(
            ProcessFleet fleet, AtomicLongArray polled, int index, int size) {
        long firstDelayMillis = 1 + POLL_INTERVAL.toMillis() * index / size;
        fleet.vertx()
                .setTimer(
                        firstDelayMillis,
                        id ->
                                fleet.vertx()
                                        .setPeriodic(
                                                POLL_INTERVAL.toMillis(),
                                                each -> poll(fleet, polled, index)));
    }

    private static void poll(ProcessFleet fleet, AtomicLongArray polled, int index) {
        fleet.store()
                .get(ConfigHead.KEY)
                .subscribe()
                .with(
                        entry -> entry.ifPresent(e -> polled.set(index, versionOf(e))),
                        failure -> {});
    }

    private static long versionOf(StoreEntry entry) {
        try {
            return ConfigHeadCodec.read(entry.value()).version().value();
        } catch (ConfigException e) {
            return 0;
        }
    }

    private static long minimum(AtomicLongArray values) {
        long minimum = Long.MAX_VALUE;
        for (int i = 0; i < values.length(); i++) {
            minimum = Math.min(minimum, values.get(i));
        }
        return minimum;
    }
}
