package org.crocusgrade.daemon.configuration;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.ConfigLoader;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.PrefixWatcher;

/**
 * Obtains configuration from the platform's service and from other daemons.
 *
 * <p>The watcher of each zone watches the platform's service; the other daemons receive new
 * versions from it, and read the service only every 7.5 to 15 s. Each daemon also exchanges
 * versions with a random other one every second, so a daemon that missed a version obtains it.
 *
 * <p>A daemon that has just started queries the others first, because the platform's service may
 * return an older version than the one it had in force before the restart. It is settled once it
 * has a configuration and another daemon has sent its version, or a second has passed. It also
 * queries the seeds of its settings: with the service down, they are the only other daemons whose
 * addresses it has.
 */
public final class ConfigWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration DIGEST_PERIOD = Duration.ofSeconds(1);
    private static final Duration STARTUP_DIGEST_PERIOD = Duration.ofMillis(200);
    private static final Duration FIRST_READ_DELAY = Duration.ofMillis(1);
    private static final Duration READ_PERIOD = Duration.ofSeconds(15);
    private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);
    private static final Duration STARTUP_PEER_TIMEOUT = Duration.ofSeconds(1);

    private final ConfigExchange exchange;
    private final KeyValueStore store;
    private final ConfigLoader loader;
    private final DaemonId self;
    private final AvailabilityZone zone;
    private final List<DaemonId> seeds;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final List<DaemonId> peers = new ArrayList<>();
    private PrefixWatcher headWatcher;
    private boolean membersKnown;
    private boolean stopped;
    private volatile boolean settled;
    private long startNanos;

    /** Creates a watcher; the exchange's listener is called with each newer configuration. */
    public ConfigWatcher(
            ConfigExchange exchange,
            KeyValueStore store,
            DaemonId self,
            AvailabilityZone zone,
            Map<DaemonId, InetSocketAddress> seeds,
            ScheduledExecutorService control,
            Clock clock) {
        this.exchange = exchange;
        this.store = store;
        this.loader = new ConfigLoader(store);
        this.self = self;
        this.zone = zone;
        this.seeds = seeds.keySet().stream().filter(id -> !id.equals(self)).sorted().toList();
        this.control = control;
        this.clock = clock;
    }

    /** Starts to read the platform's service and to exchange versions with other daemons. */
    public void start() {
        startNanos = clock.nanoTime();
        control.schedule(this::read, FIRST_READ_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        control.execute(this::sendDigests);
    }

    /** Stops all reading and exchanging. */
    public void stop() {
        control.execute(
                () -> {
                    stopped = true;
                    setWatching(false);
                });
    }

    /** Returns the configuration in force, from any thread. */
    public ConfigBundle current() {
        return exchange.current();
    }

    /**
     * Returns whether this daemon is settled: the configuration in force is assumed to be no older
     * than before its restart.
     */
    public boolean isSettled() {
        return settled;
    }

    /**
     * Updates the members, and starts or stops the watch if this daemon's zone has a new watcher.
     */
    public void membersChanged(FleetSnapshot snapshot) {
        Map<DaemonId, AvailabilityZone> members = new HashMap<>();
        for (MemberRecord member : snapshot.members().values()) {
            members.put(member.daemon(), member.zone());
        }
        membersKnown |= !members.isEmpty();
        members.put(self, zone);
        peers.clear();
        peers.addAll(members.keySet());
        peers.remove(self);
        exchange.setMembers(members);
        if (membersKnown && !stopped) {
            setWatching(exchange.isWatcher(zone));
        }
    }

    private void setWatching(boolean watching) {
        if (watching && headWatcher == null) {
            logger.atInfo().log("config: watching the platform's service for zone %s", zone);
            headWatcher = new PrefixWatcher(store, ConfigHead.KEY, control, this::onHeads);
            headWatcher.start();
        } else if (!watching && headWatcher != null) {
            headWatcher.stop();
            headWatcher = null;
        }
    }

    private void onHeads(Map<String, StoreEntry> entries) {
        loader.newer(Optional.ofNullable(entries.get(ConfigHead.KEY)), current())
                .emitOn(control)
                .subscribe()
                .with(exchange::onStore, this::onFailure);
    }

    private void read() {
        if (stopped) {
            return;
        }
        loader.newer(current()).emitOn(control).subscribe().with(this::onRead, this::onReadFailure);
    }

    private void onRead(ConfigBundle bundle) {
        exchange.onStore(bundle);
        long period = READ_PERIOD.toMillis();
        long next = ThreadLocalRandom.current().nextLong(period / 2, period);
        control.schedule(this::read, next, TimeUnit.MILLISECONDS);
    }

    private void onReadFailure(Throwable failure) {
        onFailure(failure);
        control.schedule(this::read, RETRY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onFailure(Throwable failure) {
        logger.atFine().log(
                "config: cannot read from the platform's service: %s", failure.getMessage());
    }

    private void sendDigests() {
        if (stopped) {
            return;
        }
        updateSettled();
        if (!settled) {
            seeds.forEach(exchange::sendDigest);
            peers.forEach(exchange::sendDigest);
        } else if (!peers.isEmpty()) {
            int random = ThreadLocalRandom.current().nextInt(peers.size());
            exchange.sendDigest(peers.get(random));
        }
        Duration next = settled ? DIGEST_PERIOD : STARTUP_DIGEST_PERIOD;
        control.schedule(this::sendDigests, next.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void updateSettled() {
        boolean hasConfig = current().newerThan(ConfigBundle.EMPTY);
        boolean timedOut = clock.nanoTime() - startNanos >= STARTUP_PEER_TIMEOUT.toNanos();
        settled = settled || hasConfig && (exchange.receivedFromPeer() || timedOut);
    }
}
