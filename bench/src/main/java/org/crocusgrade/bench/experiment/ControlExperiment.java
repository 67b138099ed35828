package org.crocusgrade.bench.experiment;

import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.crocusgrade.bench.process.DaemonProcess;
import org.crocusgrade.bench.process.ProcessCost;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.load.CallerLoad;
import org.crocusgrade.standin.load.PeakSchedule;
import org.crocusgrade.standin.load.QueueLoad;
import org.crocusgrade.standin.platform.CallCounts;

/**
 * Measures what fleet control costs each daemon, by the size of the fleet. Daemons run as separate
 * processes. The baseline is a window without requests; a second window has a light load in every
 * pool (at most 20 pools), so that daemons lend each other slots. A relay counts the bytes on the
 * wire, the stand-in platform counts the calls, and the kernel supplies processor time and memory.
 */
final class ControlExperiment implements Experiment {
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration WINDOW = Duration.ofSeconds(6);
    private static final Duration WORK = Duration.ofMillis(50);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final double CALLS_PER_SECOND = 40;
    private static final int LOADED_POOLS = 20;
    private static final double PERCENT = 100;
    private static final double MIB = 1 << 20;

    /** The parameter that is varied while the others stay constant. */
    enum Sweep {
        WORKERS("workers", List.of(35, 140, 280, 560)),
        DAEMONS("daemons", List.of(2, 4, 6, 8)),
        POOLS("pools", List.of(5, 20, 40, 80));

        private static final int USUAL_WORKERS = 70;
        private static final int MANY_WORKERS = 160;
        private static final int USUAL_DAEMONS = 3;
        private static final int USUAL_POOLS = 5;

        private final String label;
        private final List<Integer> sizes;

        Sweep(String label, List<Integer> sizes) {
            this.label = label;
            this.sizes = sizes;
        }

        int workers(int size) {
            return this == WORKERS ? size : this == POOLS ? MANY_WORKERS : USUAL_WORKERS;
        }

        int daemons(int size) {
            return this == DAEMONS ? size : USUAL_DAEMONS;
        }

        int pools(int size) {
            return this == POOLS ? size : USUAL_POOLS;
        }
    }

    private record Sample(
            List<ProcessCost> costs,
            long serviceBytes,
            long hostsBytes,
            double peerBytes,
            long writes,
            long reads,
            long nanos) {}

    private final Sweep sweep;

    ControlExperiment(Sweep sweep) {
        this.sweep = sweep;
    }

    @Override
    public String name() {
        return "control-by-" + sweep.label;
    }

    @Override
    public String summary() {
        return "cost of fleet control per daemon by the number of "
                + sweep.label
                + ", without and with load";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        List<String> columns = new ArrayList<>();
        columns.add(sweep.label);
        for (String window : List.of("quiet", "loaded")) {
            for (String metric :
                    List.of(
                            "cpu %",
                            "control %",
                            "loops %",
                            "machine %",
                            "MiB",
                            "service B/s",
                            "hosts B/s",
                            "peer B/s",
                            "writes/s",
                            "reads/s")) {
                columns.add(window + " " + metric);
            }
        }
        columns.add("waiting watches");
        ExperimentTable table = new ExperimentTable(name(), columns);
        for (int size : sweep.sizes) {
            progress.accept(size + " " + sweep.label);
            table.add(measure(size, seed));
        }
        return table;
    }

    private List<Double> measure(int size, long seed) throws ExperimentException {
        StandinFleet.Spec spec = Deployment.LAINEFLUX.fleet().withWorkers(sweep.workers(size));
        try (ProcessFleet fleet = new ProcessFleet(Deployment.LAINEFLUX.region(), spec, seed)) {
            Map<String, String> files = PoolFiles.of(sweep.pools(size), sweep.workers(size));
            fleet.publish(files);
            fleet.startDaemons(sweep.daemons(size));
            fleet.pause(WARM_UP);
            List<Double> row = new ArrayList<>();
            row.add((double) size);
            Sample first = sample(fleet);
            fleet.pause(WINDOW);
            Sample second = sample(fleet);
            row.addAll(rates(first, second, sweep.daemons(size)));
            CallerLoad load = load(fleet, sweep.pools(size), seed);
            load.run().subscribeAsCompletionStage();
            fleet.pause(WARM_UP);
            Sample third = sample(fleet);
            fleet.pause(WINDOW);
            row.addAll(rates(third, sample(fleet), sweep.daemons(size)));
            row.add((double) fleet.platform().service().counts().waiting());
            return row;
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed at size " + size, e);
        }
    }

    private static CallerLoad load(ProcessFleet fleet, int pools, long seed) {
        int loaded = Math.min(pools, LOADED_POOLS);
        List<QueueLoad> loads = new ArrayList<>();
        for (int i = 0; i < loaded; i++) {
            ServiceId service = new ServiceId(PoolFiles.name(i));
            loads.add(new QueueLoad(service, CALLS_PER_SECOND / loaded, WORK, TIMEOUT, 1));
        }
        Duration length = WARM_UP.plus(WINDOW);
        PeakSchedule schedule =
                new PeakSchedule(loaded, length, Duration.ofSeconds(1), TIMEOUT, seed);
        return new CallerLoad(
                fleet.vertx(),
                fleet.clock(),
                fleet.balancer()::ready,
                loads,
                schedule,
                length,
                seed);
    }

    private static Sample sample(ProcessFleet fleet) throws ProcessException {
        List<ProcessCost> costs = new ArrayList<>();
        double peerBytes = 0;
        WebClient client = WebClient.create(fleet.vertx());
        for (DaemonProcess daemon : fleet.daemons()) {
            costs.add(daemon.cost());
            peerBytes += peerBytes(client, daemon);
        }
        client.close();
        CallCounts counts = fleet.platform().service().counts();
        return new Sample(
                costs,
                fleet.serviceRelay().sentBytes() + fleet.serviceRelay().receivedBytes(),
                fleet.hostsRelay().sentBytes() + fleet.hostsRelay().receivedBytes(),
                peerBytes,
                counts.writes(),
                counts.reads(),
                fleet.clock().nanoTime());
    }

    private static double peerBytes(WebClient client, DaemonProcess daemon) {
        HttpResponse<?> response =
                client.get(
                                daemon.operators().getPort(),
                                daemon.operators().getAddress().getHostAddress(),
                                "/metrics")
                        .send()
                        .await()
                        .atMost(TIMEOUT);
        return response.bodyAsString()
                .lines()
                .filter(line -> line.startsWith("crocusgrade_peer_sent_bytes"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .sum();
    }

    /** Returns the mean rates per daemon. Bytes between peers are counted at the sender only. */
    private static List<Double> rates(Sample from, Sample to, int daemons) {
        double seconds = (to.nanos() - from.nanos()) / 1e9;
        double daemonSeconds = seconds * daemons;
        double all = 0;
        double control = 0;
        double loops = 0;
        double machine = 0;
        double resident = 0;
        for (int i = 0; i < daemons; i++) {
            ProcessCost before = from.costs().get(i);
            ProcessCost after = to.costs().get(i);
            all += after.seconds() - before.seconds();
            control += after.seconds("control") - before.seconds("control");
            control += after.seconds("peer") - before.seconds("peer");
            loops += after.seconds("loops") - before.seconds("loops");
            machine += after.seconds("machine") - before.seconds("machine");
            resident += after.residentBytes();
        }
        return List.of(
                all / daemonSeconds * PERCENT,
                control / daemonSeconds * PERCENT,
                loops / daemonSeconds * PERCENT,
                machine / daemonSeconds * PERCENT,
                resident / daemons / MIB,
                (to.serviceBytes() - from.serviceBytes()) / daemonSeconds,
                (to.hostsBytes() - from.hostsBytes()) / daemonSeconds,
                (to.peerBytes() - from.peerBytes()) / daemonSeconds,
                (to.writes() - from.writes()) / daemonSeconds,
                (to.reads() - from.reads()) / daemonSeconds);
    }
}
