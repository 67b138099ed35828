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
 * How long a published configuration takes until the last daemon has it, by the number of daemons,
 * beside as many readers that ask the platform once a second.
 */
final class SpreadExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(1, 2, 4, 8);
    private static final int PUBLISHES = 6;
    private static final int WORKERS = 35;
    private static final int POOLS = 5;
    private static final Duration POLL = Duration.ofMillis(5);
    private static final Duration ASK_EVERY = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PAUSE = Duration.ofMillis(700);
    private static final double MILLIS = 1e6;

    @Override
    public String name() {
        return "config-spread";
    }

    @Override
    public String summary() {
        return "how long a configuration takes to reach every daemon, beside readers that poll";
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
            double[] project = new double[PUBLISHES];
            double[] baseline = new double[PUBLISHES];
            for (int i = 0; i < PUBLISHES; i++) {
                fleet.pause(PAUSE);
                publish(fleet, files, i);
                long version = fleet.published().head().version().value();
                long start = publishedNanos(fleet, version);
                project[i] = awaitAll(fleet, client, version, start);
                fleet.await("polling readers", () -> least(polled) >= version);
                baseline[i] = (fleet.clock().nanoTime() - start) / MILLIS;
            }
            client.close();
            Arrays.sort(project);
            Arrays.sort(baseline);
            return List.of(
                    (double) size,
                    project[PUBLISHES / 2],
                    project[PUBLISHES - 1],
                    baseline[PUBLISHES / 2],
                    baseline[PUBLISHES - 1]);
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

    /** Returns when the head took effect at the platform, on the monotonic clock. */
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
                fleet.pause(POLL);
            }
        }
        return (fleet.clock().nanoTime() - start) / MILLIS;
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
        long first = 1 + ASK_EVERY.toMillis() * index / size;
        fleet.vertx()
                .setTimer(
                        first,
                        id ->
                                fleet.vertx()
                                        .setPeriodic(
                                                ASK_EVERY.toMillis(),
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

    private static long least(AtomicLongArray values) {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < values.length(); i++) {
            least = Math.min(least, values.get(i));
        }
        return least;
    }
}
