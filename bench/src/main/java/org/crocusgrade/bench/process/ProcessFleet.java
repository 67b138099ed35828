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

/** Stand-ins in this process, and daemons in separate processes that only use loopback. */
public final class ProcessFleet implements AutoCloseable {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final int EVENT_LOOPS = 2;
    private static final int FIRST_HOST_NUMBER = 10;
    private static final int FIRST_SUBNET = 16;
    private static final int SUBNETS = 200;

    /** Depends on the id of this process, so that two fleets on one machine rarely collide. */
    private static final String ADDRESS_PREFIX =
            "127." + (FIRST_SUBNET + ProcessHandle.current().pid() % SUBNETS) + ".1.";

    private final Clock clock = Clock.system();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final Region region;
    private final StandinFleet.Spec spec;
    private final EmbeddedPlatform platform;
    private final CountingRelay service;
    private final CountingRelay hosts;
    private final HttpKeyValueStore store;
    private final Balancer balancer;
    private final Path directory;
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final Thread killHook = new Thread(this::killDaemons, "end-daemons");
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
            throw new ProcessException(
                    "a directory for the daemons' settings cannot be created", e);
        }
        Runtime.getRuntime().addShutdownHook(killHook);
    }

    private void killDaemons() {
        daemons.forEach(DaemonProcess::killWithoutWaiting);
    }

    /** Publishes service files the way an operator does, and returns the new configuration. */
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
            throw new ProcessException("the service files cannot be published", e);
        }
    }

    /** Starts daemons and waits until all are ready and every worker is recorded in a pool. */
    public void startDaemons(int count) throws ProcessException {
        for (int i = 0; i < count; i++) {
            String ip = ADDRESS_PREFIX + (FIRST_HOST_NUMBER + i);
            DaemonProcess.Spec daemonSpec =
                    new DaemonProcess.Spec(
                            i,
                            ip,
                            region,
                            spec.zones().get(i % spec.zones().size()),
                            service.address(),
                            hosts.address());
            DaemonProcess daemon = new DaemonProcess(daemonSpec, directory);
            daemons.add(daemon);
            daemon.start();
            balancer.add(daemon.callers(), daemon.operators());
        }
        balancer.start();
        await("daemons to get ready", () -> balancer.ready().size() == count);
        await("workers to get pools", () -> history().workers() == spec.workers());
    }

    /** Waits until a condition holds; throws if it does not within {@code READY_TIMEOUT}. */
    public void await(String what, BooleanSupplier condition) throws ProcessException {
        long end = clock.nanoTime() + READY_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (clock.nanoTime() - end >= 0) {
                throw new ProcessException(
                        "timed out waiting for " + what + "; daemons' directory: " + directory);
            }
            pause(POLL);
        }
    }

    /** Sleeps for a time. */
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

    public Clock clock() {
        return clock;
    }

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

    /** Returns a client of the key-value service that bypasses the relay. */
    public HttpKeyValueStore store() {
        return store;
    }

    public Balancer balancer() {
        return balancer;
    }

    public List<DaemonProcess> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the configuration published last. */
    public ConfigBundle published() {
        return published;
    }

    /** Returns the pool of each worker over time. */
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
        Runtime.getRuntime().removeShutdownHook(killHook);
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
            throw new ProcessException("the daemons' directory cannot be removed", e);
        }
    }
}
