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
 * Compares one daemon with a bare proxy in one process, in turns: throughput and processor time
 * with many requests in flight, and latency at half of the daemon's throughput.
 */
public final class RequestOverhead {
    private static final Deployment DEPLOYMENT = Deployment.LAINEFLUX;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int THREADS = 2;
    private static final int IN_FLIGHT = 32;
    private static final long SEED = 1;

    private RequestOverhead() {}

    /** Prints a line for each round; the arguments are the rounds and the seconds of each load. */
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
        try (RoundRobinProxy proxy =
                        new RoundRobinProxy(workers, THREADS, EmbeddedPlatform.LOOPBACK);
                LoadGenerator load = new LoadGenerator()) {
            InetSocketAddress daemon = daemons.all().get(0).callers();
            InetSocketAddress proxyAddress = proxy.address(EmbeddedPlatform.LOOPBACK);
            warmUp(load, daemon, proxyAddress);
            for (int round = 1; round <= rounds; round++) {
                compare(load, daemon, proxyAddress, length, round);
            }
        } finally {
            daemons.close();
            platform.stop();
            vertx.closeAndAwait();
        }
    }

    private static void publish(Vertx vertx, EmbeddedPlatform platform) throws Exception {
        HttpKeyValueStore store = new HttpKeyValueStore(vertx, platform.serviceAddress(), TIMEOUT);
        ConfigChange change = ConfigChange.of(DEPLOYMENT.samples(), Set.of());
        new Publisher(store, Clock.system())
                .publish(new PublishId(UUID.randomUUID().toString()), change, ConfigHead.NONE)
                .await()
                .atMost(TIMEOUT);
        store.close();
    }

    private static List<InetSocketAddress> workers(Vertx vertx, EmbeddedPlatform platform) {
        HttpHostPlatform hosts = new HttpHostPlatform(vertx, platform.hostsAddress(), TIMEOUT);
        List<InetSocketAddress> addresses =
                hosts.hosts().await().atMost(TIMEOUT).stream().map(HostEntry::address).toList();
        hosts.close();
        return addresses;
    }

    private static void warmUp(
            LoadGenerator load, InetSocketAddress daemon, InetSocketAddress proxyAddress)
            throws InterruptedException {
        Duration step = Duration.ofSeconds(1);
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (load.closedLoop(daemon, 1, step).succeeded() == 0 && System.nanoTime() - end < 0) {
            Thread.sleep(step.toMillis() / 10);
        }
        for (int i = 0; i < 5; i++) {
            load.closedLoop(daemon, IN_FLIGHT, step);
            load.closedLoop(proxyAddress, IN_FLIGHT, step);
        }
    }

    private static void compare(
            LoadGenerator load,
            InetSocketAddress daemon,
            InetSocketAddress proxyAddress,
            Duration length,
            int round)
            throws InterruptedException {
        double cpu = cpuSeconds();
        LoadGenerator.Round proxyFull = load.closedLoop(proxyAddress, IN_FLIGHT, length);
        double proxyCpu = (cpuSeconds() - cpu) / proxyFull.succeeded();
        cpu = cpuSeconds();
        LoadGenerator.Round daemonFull = load.closedLoop(daemon, IN_FLIGHT, length);
        double daemonCpu = (cpuSeconds() - cpu) / daemonFull.succeeded();
        double half = daemonFull.perSecond() / 2;
        LoadGenerator.Round proxyHalf = load.openLoop(proxyAddress, half, length);
        LoadGenerator.Round daemonHalf = load.openLoop(daemon, half, length);
        System.out.printf(
                Locale.ROOT,
                "round %d: throughput %.0f/s of %.0f/s bare (%.2f), processor time %.0f us of %.0f"
                        + " us a request; at %.0f/s p50 %.2f ms, bare %.2f ms; p99 %.2f ms, bare"
                        + " %.2f ms; bad %d, bare %d%n",
                round,
                daemonFull.perSecond(),
                proxyFull.perSecond(),
                daemonFull.perSecond() / proxyFull.perSecond(),
                daemonCpu * 1e6,
                proxyCpu * 1e6,
                half,
                millis(daemonHalf, 50),
                millis(proxyHalf, 50),
                millis(daemonHalf, 99),
                millis(proxyHalf, 99),
                daemonFull.failed() + daemonHalf.failed(),
                proxyFull.failed() + proxyHalf.failed());
    }

    private static double millis(LoadGenerator.Round round, double percentile) {
        return round.latencies().getValueAtPercentile(percentile) / 1e6;
    }

    private static double cpuSeconds() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / 1e9;
    }
}
