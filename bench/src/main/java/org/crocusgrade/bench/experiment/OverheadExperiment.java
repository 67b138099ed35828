package org.crocusgrade.bench.experiment;

import io.smallrye.mutiny.Multi;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.WorkerServer;

/**
 * Measures the latency that a daemon adds to requests, by the number of concurrent callers. The
 * baseline sends the same requests directly to a worker.
 */
final class OverheadExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(1, 2, 4, 8);
    private static final int WARM_UP_CALLS = 3000;
    private static final int CALLS = 4000;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long MAX_MICROS = 60_000_000;
    private static final double MICROS_PER_MILLI = 1000;

    @Override
    public String name() {
        return "request-overhead";
    }

    @Override
    public String summary() {
        return "request latency through a daemon; baseline: requests sent directly to a worker";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "callers",
                                "daemon p50 ms",
                                "daemon p99 ms",
                                "direct p50 ms",
                                "direct p99 ms"));
        StandinFleet.Spec spec = Deployment.LAINEFLUX.fleet().withWorkers(8);
        try (ProcessFleet fleet = new ProcessFleet(Deployment.LAINEFLUX.region(), spec, seed)) {
            fleet.publish(Map.copyOf(PoolFiles.of(1, 8)));
            fleet.startDaemons(1);
            InetSocketAddress daemon = fleet.daemons().get(0).callers();
            HostEntry worker =
                    fleet.platform().hosts().state().versionAt(Duration.ZERO).hosts().get(0);
            String service = "/s/" + PoolFiles.name(0) + "/call";
            call(fleet, daemon, service, 8, WARM_UP_CALLS);
            call(fleet, worker.address(), "/run/call", 8, WARM_UP_CALLS);
            for (int callers : SIZES) {
                progress.accept(callers + " callers");
                Histogram viaDaemon = call(fleet, daemon, service, callers, CALLS);
                Histogram direct = call(fleet, worker.address(), "/run/call", callers, CALLS);
                table.add(
                        List.of(
                                (double) callers,
                                viaDaemon.getValueAtPercentile(50) / MICROS_PER_MILLI,
                                viaDaemon.getValueAtPercentile(99) / MICROS_PER_MILLI,
                                direct.getValueAtPercentile(50) / MICROS_PER_MILLI,
                                direct.getValueAtPercentile(99) / MICROS_PER_MILLI));
            }
            return table;
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed", e);
        }
    }

    private static Histogram call(
            ProcessFleet fleet, InetSocketAddress target, String path, int callers, int calls) {
        WebClient client =
                WebClient.create(fleet.vertx(), new WebClientOptions().setMaxPoolSize(callers));
        Histogram times = new ConcurrentHistogram(MAX_MICROS, 3);
        Multi.createFrom()
                .range(0, calls)
                .onItem()
                .transformToUni(
                        i -> {
                            long start = System.nanoTime();
                            return request(client, target, path, i)
                                    .send()
                                    .invoke(
                                            r ->
                                                    times.recordValue(
                                                            (System.nanoTime() - start) / 1000));
                        })
                .merge(callers)
                .collect()
                .last()
                .await()
                .atMost(TIMEOUT);
        client.close();
        return times;
    }

    private static HttpRequest<Buffer> request(
            WebClient client, InetSocketAddress target, String path, int number) {
        return client.get(target.getPort(), target.getAddress().getHostAddress(), path)
                .putHeader("Crocusgrade-Request", "direct-" + number)
                .putHeader(WorkerServer.NONCE, "n-" + number)
                .putHeader(WorkerServer.WORK, "1ms");
    }
}
