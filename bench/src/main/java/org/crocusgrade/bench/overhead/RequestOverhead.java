package org.crocusgrade.bench.overhead;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.UUID;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.bench.trial.EmbeddedDaemons;
import org.crocusgrade.bench.trial.EmbeddedPlatform;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.platform.HttpHostPlatform;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;

/**
 * Measures one daemon against the pass-through in one process, in turns: throughput with many
 * requests open, and latency at half of the daemon's throughput.
 */
public final class RequestOverhead {
    private static final Deployment DEPLOYMENT = Deployment.LAINEFLUX;
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final int THREADS = 2;
    private static final int OPEN = 32;
    private static final long SEED = 1;

    private RequestOverhead() {}

    /** Prints the figures; the arguments are rounds and seconds of each. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        Duration length = Duration.ofSeconds(args.length > 1 ? Integer.parseInt(args[1]) : 5);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(THREADS));
        EmbeddedPlatform platform =
                new EmbeddedPlatform(vertx, Clock.system(), DEPLOYMENT.fleet(), SEED);
        publish(vertx, platform);
        EmbeddedDaemons daemons =
                new EmbeddedDaemons(platform, DEPLOYMENT.region(), DEPLOYMENT.fleet().zones(), 1);
        List<InetSocketAddress> workers = workers(vertx, platform);
        try (PassThrough bare = new PassThrough(workers, THREADS, EmbeddedPlatform.LOOPBACK);
                LoadLoop load = new LoadLoop()) {
            InetSocketAddress daemon = daemons.all().get(0).callers();
            InetSocketAddress pass = bare.address(EmbeddedPlatform.LOOPBACK);
            warmUp(load, daemon, pass);
            for (int round = 1; round <= rounds; round++) {
                compare(load, daemon, pass, length, round);
            }
        } finally {
            daemons.close();
            platform.stop();
            vertx.closeAndAwait();
        }
    }

    private static void publish(Vertx vertx, EmbeddedPlatform platform) throws Exception {
        HttpKeyValueStore store = new HttpKeyValueStore(vertx, platform.serviceAddress(), WAIT);
        ConfigChange change = ConfigChange.of(DEPLOYMENT.samples(), Set.of());
        new Publisher(store, Clock.system())
                .publish(new PublishId(UUID.randomUUID().toString()), change, ConfigHead.NONE)
                .await()
                .atMost(WAIT);
        store.close();
    }

    private static List<InetSocketAddress> workers(Vertx vertx, EmbeddedPlatform platform) {
        HttpHostPlatform hosts = new HttpHostPlatform(vertx, platform.hostsAddress(), WAIT);
        List<InetSocketAddress> addresses =
                hosts.hosts().await().atMost(WAIT).stream().map(HostEntry::address).toList();
        hosts.close();
        return addresses;
    }

    private static void warmUp(LoadLoop load, InetSocketAddress daemon, InetSocketAddress pass)
            throws InterruptedException {
        Duration step = Duration.ofSeconds(1);
        long end = System.nanoTime() + WAIT.toNanos();
        while (load.closed(daemon, 1, step).good() == 0 && System.nanoTime() - end < 0) {
            Thread.sleep(step.toMillis() / 10);
        }
        for (int i = 0; i < 5; i++) {
            load.closed(daemon, OPEN, step);
            load.closed(pass, OPEN, step);
        }
    }

    private static void compare(
            LoadLoop load,
            InetSocketAddress daemon,
            InetSocketAddress pass,
            Duration length,
            int round)
            throws InterruptedException {
        double cpu = cpuSeconds();
        LoadLoop.Round bareFull = load.closed(pass, OPEN, length);
        double bareCpu = (cpuSeconds() - cpu) / bareFull.good();
        cpu = cpuSeconds();
        LoadLoop.Round ownFull = load.closed(daemon, OPEN, length);
        double ownCpu = (cpuSeconds() - cpu) / ownFull.good();
        double half = ownFull.perSecond() / 2;
        LoadLoop.Round bareHalf = load.paced(pass, half, length);
        LoadLoop.Round ownHalf = load.paced(daemon, half, length);
        System.out.printf(
                Locale.ROOT,
                "round %d: throughput %.0f/s of %.0f/s bare (%.2f), processor time %.0f us of %.0f"
                        + " us a request; at %.0f/s p50 %.2f ms, bare %.2f ms; p99 %.2f ms, bare"
                        + " %.2f ms; bad %d, bare %d%n",
                round,
                ownFull.perSecond(),
                bareFull.perSecond(),
                ownFull.perSecond() / bareFull.perSecond(),
                ownCpu * 1e6,
                bareCpu * 1e6,
                half,
                millis(ownHalf, 50),
                millis(bareHalf, 50),
                millis(ownHalf, 99),
                millis(bareHalf, 99),
                ownFull.bad() + ownHalf.bad(),
                bareFull.bad() + bareHalf.bad());
    }

    private static double millis(LoadLoop.Round round, double percentile) {
        return round.latencies().getValueAtPercentile(percentile) / 1e6;
    }

    private static double cpuSeconds() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / 1e9;
    }
}
