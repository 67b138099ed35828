package org.crocusgrade.bench.process;

import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.crocusgrade.bench.trial.Balancer;
import org.crocusgrade.bench.trial.EmbeddedPlatform;
import org.crocusgrade.bench.trial.FleetHistory;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.standin.StandinFleet;

/** Stand-ins in this process, and daemons in processes of their own that share nothing with it. */
public final class ProcessFleet implements AutoCloseable {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final int LOOPS = 2;
    private static final int FIRST_IP = 10;
    private static final int FIRST_BLOCK = 16;
    private static final int BLOCKS = 200;

    /** Loopback numbers of this process, so that two fleets on one machine do not meet. */
    private static final String BLOCK =
            "127." + (FIRST_BLOCK + ProcessHandle.current().pid() % BLOCKS) + ".1.";

    private final Clock clock = Clock.system();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(LOOPS));
    private final Region region;
    private final StandinFleet.Spec spec;
    private final EmbeddedPlatform platform;
    private final CountingRelay service;
    private final CountingRelay hosts;
    private final HttpKeyValueStore store;
    private final Balancer balancer;
    private final Path directory;
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final Thread ending = new Thread(this::endDaemons, "end-daemons");
    private ConfigBundle published = ConfigBundle.EMPTY;

    /** Starts the stand-ins; {@link #startDaemons} starts the daemons. */
    public ProcessFleet(Region region, StandinFleet.Spec spec, long seed) throws ProcessException {
        this.region = region;
        this.spec = spec;
        platform = new EmbeddedPlatform(vertx, clock, spec, seed);
        service = new CountingRelay(vertx, platform.serviceAddress());
        hosts = new CountingRelay(vertx, platform.hostsAddress());
        store = new HttpKeyValueStore(vertx, platform.serviceAddress(), STORE_TIMEOUT);
        balancer = new Balancer(vertx);
        try {
            directory = Files.createTempDirectory("crocusgrade-");
        } catch (IOException e) {
            throw new ProcessException("no directory for settings", e);
        }
        Runtime.getRuntime().addShutdownHook(ending);
    }

    private void endDaemons() {
        daemons.forEach(DaemonProcess::end);
    }

    /** Publishes service files as an operator would. */
    public ConfigBundle publish(Map<String, String> texts) throws ProcessException {
        try {
            Publisher publisher = new Publisher(store, clock);
            ConfigBundle base = publisher.current().await().atMost(PUBLISH_TIMEOUT);
            ConfigChange change = ConfigChange.of(texts, Set.of());
            PublishId id = new PublishId(UUID.randomUUID().toString());
            publisher.publish(id, change, base.head()).await().atMost(PUBLISH_TIMEOUT);
            published = publisher.current().await().atMost(PUBLISH_TIMEOUT);
            return published;
        } catch (ConfigException | RuntimeException e) {
            throw new ProcessException("service files cannot be published", e);
        }
    }

    /** Starts daemons and waits until all are ready and every worker is recorded in a pool. */
    public void startDaemons(int count) throws ProcessException {
        for (int i = 0; i < count; i++) {
            String ip = BLOCK + (FIRST_IP + i);
            DaemonProcess.Spec each =
                    new DaemonProcess.Spec(
                            i,
                            ip,
                            region,
                            spec.zones().get(i % spec.zones().size()),
                            service.address(),
                            hosts.address());
            DaemonProcess daemon = new DaemonProcess(each, directory);
            daemons.add(daemon);
            daemon.start();
            balancer.add(daemon.callers(), daemon.operators());
        }
        balancer.start();
        await("daemons to get ready", () -> balancer.ready().size() == count);
        await("workers to get pools", () -> history().workers() == spec.workers());
    }

    /** Waits until something is so. */
    public void await(String what, BooleanSupplier done) throws ProcessException {
        long end = clock.nanoTime() + READY_TIMEOUT.toNanos();
        while (!done.getAsBoolean()) {
            if (clock.nanoTime() - end >= 0) {
                throw new ProcessException("waited too long for " + what + ": " + directory);
            }
            pause(POLL);
        }
    }

    /** Waits. */
    public void pause(Duration time) throws ProcessException {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ProcessException("interrupted", e);
        }
    }

    /** Returns the Vert.x instance of the stand-ins. */
    public Vertx vertx() {
        return vertx;
    }

    /** Returns the clock. */
    public Clock clock() {
        return clock;
    }

    /** Returns the stand-ins. */
    public EmbeddedPlatform platform() {
        return platform;
    }

    /** Returns the relay between the daemons and the key-value service. */
    public CountingRelay serviceRelay() {
        return service;
    }

    /** Returns the relay between the daemons and the host list. */
    public CountingRelay hostsRelay() {
        return hosts;
    }

    /** Returns a client of the key-value service. */
    public HttpKeyValueStore store() {
        return store;
    }

    /** Returns the balancer. */
    public Balancer balancer() {
        return balancer;
    }

    /** Returns the daemons. */
    public List<DaemonProcess> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the configuration published last. */
    public ConfigBundle published() {
        return published;
    }

    /** Returns which worker was in which pool when. */
    public FleetHistory history() {
        return new FleetHistory(platform.service().history(FleetHistory.PREFIX));
    }

    @Override
    public void close() throws ProcessException {
        balancer.stop();
        for (DaemonProcess daemon : daemons) {
            if (daemon.alive()) {
                daemon.kill();
            }
        }
        Runtime.getRuntime().removeShutdownHook(ending);
        store.close();
        service.stop();
        hosts.stop();
        platform.stop();
        vertx.close().await().atMost(CLOSE_TIMEOUT);
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new ProcessException("settings cannot be removed", e);
        }
    }
}
