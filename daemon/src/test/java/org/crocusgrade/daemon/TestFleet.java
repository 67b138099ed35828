package org.crocusgrade.daemon;

import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.logging.Level;
import java.util.stream.Stream;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.daemon.settings.Settings;
import org.crocusgrade.peer.PeerKey;
import org.crocusgrade.standin.HostListServer;
import org.crocusgrade.standin.PlatformServer;
import org.crocusgrade.standin.WorkerServer;

/**
 * A small fleet on the loopback interface: stand-ins for workers and platform, daemons, and a
 * published configuration.
 */
public final class TestFleet implements AutoCloseable {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final int WORKERS_PER_RACK = 4;
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final String LOOPBACK = "127.0.0.1";
    private static final long SEED = 1;
    private static final Duration REBOOT_TIME = Duration.ofSeconds(4);

    public final Vertx vertx = Vertx.vertx();
    public final PlatformServer platform = new PlatformServer(Clock.system(), SEED);
    public final List<WorkerServer> workers = new ArrayList<>();
    public final List<Daemon> daemons = new ArrayList<>();
    public final HostListServer hosts;
    private final InetSocketAddress platformAddress;
    private final InetSocketAddress hostsAddress;

    /** Starts the stand-ins of a fleet with the given number of workers. */
    public TestFleet(int workerCount) {
        this(workerCount, Optional.empty());
    }

    /** Starts the stand-ins of a fleet whose workers all have the given address. */
    public TestFleet(int workerCount, InetSocketAddress worker) {
        this(workerCount, Optional.of(worker));
    }

    private TestFleet(int workerCount, Optional<InetSocketAddress> worker) {
        platformAddress = platform.start(vertx, LOOPBACK, 0).await().atMost(WAIT);
        List<HostEntry> entries = new ArrayList<>();
        for (int i = 0; i < workerCount; i++) {
            WorkerId id = new WorkerId("w" + i);
            entries.add(entry(i, id, worker.orElseGet(() -> startWorker(id))));
        }
        hosts = new HostListServer(Clock.system(), entries, Duration.ZERO, REBOOT_TIME);
        hostsAddress = hosts.start(vertx, LOOPBACK, 0).await().atMost(WAIT);
    }

    private InetSocketAddress startWorker(WorkerId id) {
        WorkerServer worker = new WorkerServer(id, Clock.system(), SLOTS, CONNECTIONS);
        workers.add(worker);
        return worker.start(vertx, LOOPBACK, 0).await().atMost(WAIT);
    }

    private static HostEntry entry(int index, WorkerId id, InetSocketAddress address) {
        int rack = index / WORKERS_PER_RACK;
        return new HostEntry(
                id,
                address,
                new RackId("rack-" + rack),
                new AvailabilityZone("zone-" + rack % 3),
                HostEntry.State.LIVE,
                32,
                128L << 30,
                0,
                SLOTS,
                CONNECTIONS,
                "image-1");
    }

    /** Starts another daemon, with the earlier ones as seeds. */
    public Daemon startDaemon() throws DaemonException {
        Daemon daemon = new Daemon(settings(daemons.size()));
        daemons.add(daemon);
        daemon.start();
        return daemon;
    }

    private Settings settings(int index) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new Settings(
                new DaemonId("d" + index),
                new Region("region-1"),
                new AvailabilityZone("zone-" + index % 3),
                new Settings.Listen(any, any, any),
                new Settings.Platform(platformAddress, hostsAddress),
                new PeerKey("a key for tests only".getBytes(StandardCharsets.UTF_8)),
                seeds(),
                Level.INFO,
                2,
                new Settings.Bounds(1 << 20, 16 << 10, Duration.ofSeconds(5), Duration.ZERO));
    }

    /** Returns the peer addresses of the daemons started before. */
    private Map<DaemonId, InetSocketAddress> seeds() {
        Map<DaemonId, InetSocketAddress> seeds = new TreeMap<>();
        for (int i = 0; i < daemons.size(); i++) {
            seeds.put(new DaemonId("d" + i), daemons.get(i).peers());
        }
        return seeds;
    }

    /** Publishes a folder of service files as an operator would; {@code fleet.ini} is left out. */
    public Publisher.Result publish(Path folder) throws IOException, ConfigException {
        HttpKeyValueStore store = store();
        try {
            Map<String, String> texts = new TreeMap<>();
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(TestFleet::isServiceFile).toList()) {
                    texts.put(file.getFileName().toString(), Files.readString(file));
                }
            }
            ConfigChange change = ConfigChange.of(texts, Set.of());
            return new Publisher(store, Clock.system())
                    .publish(new PublishId(UUID.randomUUID().toString()), change, ConfigHead.NONE)
                    .await()
                    .atMost(WAIT);
        } finally {
            store.close();
        }
    }

    private static boolean isServiceFile(Path file) {
        return file.toString().endsWith(".ini") && !file.endsWith("fleet.ini");
    }

    /** Returns a new client of the platform's key-value service; the caller closes it. */
    public HttpKeyValueStore store() {
        return new HttpKeyValueStore(vertx, platformAddress, STORE_TIMEOUT);
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
        workers.forEach(worker -> worker.stop().await().atMost(WAIT));
        hosts.stop().await().atMost(WAIT);
        platform.stop().await().atMost(WAIT);
        vertx.closeAndAwait();
    }
}
