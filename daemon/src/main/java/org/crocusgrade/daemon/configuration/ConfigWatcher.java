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
 * Gets the configuration from wherever it can be had.
 *
 * <p>The watcher of the zone waits at the platform; every other daemon is handed new versions by
 * it, and reads the platform only now and then. Each daemon also exchanges versions with a random
 * other one every second, so whoever was left out catches up.
 *
 * <p>A daemon that has just started first asks the others, because the platform may show it an
 * older version than the one it had in force before: it is not settled before another daemon has
 * told its version, or a second has passed without an answer. The seeds of its settings are asked
 * too; with the platform down they are the only others that it knows.
 */
public final class ConfigWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration GREET_PERIOD = Duration.ofSeconds(1);
    private static final Duration FIRST_GREET_PERIOD = Duration.ofMillis(200);
    private static final Duration FIRST_READ = Duration.ofMillis(1);
    private static final Duration READ_PERIOD = Duration.ofSeconds(15);
    private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);
    private static final Duration BOOT_WAIT = Duration.ofSeconds(1);

    private final ConfigExchange exchange;
    private final KeyValueStore store;
    private final ConfigLoader loader;
    private final DaemonId self;
    private final AvailabilityZone zone;
    private final List<DaemonId> seeds;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final List<DaemonId> others = new ArrayList<>();
    private PrefixWatcher heads;
    private boolean membersKnown;
    private boolean stopped;
    private volatile boolean settled;
    private long startNanos;

    /** Makes a watcher; the exchange's listener gets each newer configuration. */
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

    /** Starts to read, to watch and to ask the others. */
    public void start() {
        startNanos = clock.nanoTime();
        control.schedule(this::read, FIRST_READ.toMillis(), TimeUnit.MILLISECONDS);
        control.execute(this::greet);
    }

    /** Ends the watch. */
    public void stop() {
        control.execute(
                () -> {
                    stopped = true;
                    setWatching(false);
                });
    }

    /** Returns the configuration in force, from any thread. */
    public ConfigBundle held() {
        return exchange.held();
    }

    /** Returns whether the configuration in force is no older than before a restart. */
    public boolean isSettled() {
        return settled;
    }

    /** Takes the member list. */
    public void membersChanged(FleetSnapshot snapshot) {
        Map<DaemonId, AvailabilityZone> members = new HashMap<>();
        for (MemberRecord member : snapshot.members().values()) {
            members.put(member.daemon(), member.zone());
        }
        membersKnown |= !members.isEmpty();
        members.put(self, zone);
        others.clear();
        others.addAll(members.keySet());
        others.remove(self);
        exchange.setMembers(members);
        if (membersKnown && !stopped) {
            setWatching(exchange.isWatcher(zone));
        }
    }

    private void setWatching(boolean wanted) {
        if (wanted && heads == null) {
            logger.atInfo().log("config: watching the platform for zone %s", zone);
            heads = new PrefixWatcher(store, ConfigHead.KEY, control, this::onHeads);
            heads.start();
        } else if (!wanted && heads != null) {
            heads.stop();
            heads = null;
        }
    }

    private void onHeads(Map<String, StoreEntry> entries) {
        loader.newer(Optional.ofNullable(entries.get(ConfigHead.KEY)), held())
                .emitOn(control)
                .subscribe()
                .with(exchange::onStore, this::onFailure);
    }

    private void read() {
        if (stopped) {
            return;
        }
        loader.newer(held()).emitOn(control).subscribe().with(this::onRead, this::onReadFailure);
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
        logger.atFine().log("config: cannot load: %s", failure.getMessage());
    }

    private void greet() {
        if (stopped) {
            return;
        }
        settle();
        if (!settled) {
            seeds.forEach(exchange::greet);
            others.forEach(exchange::greet);
        } else if (!others.isEmpty()) {
            int random = ThreadLocalRandom.current().nextInt(others.size());
            exchange.greet(others.get(random));
        }
        Duration next = settled ? GREET_PERIOD : FIRST_GREET_PERIOD;
        control.schedule(this::greet, next.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void settle() {
        boolean has = held().newerThan(ConfigBundle.EMPTY);
        boolean waited = clock.nanoTime() - startNanos >= BOOT_WAIT.toNanos();
        settled = settled || has && (exchange.heard() || waited);
    }
}
