package org.crocusgrade.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.member.MemberCodec;
import org.crocusgrade.core.member.MemberException;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.HostPlatform;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.FleetSnapshot.VersionedRack;

/** Keeps the snapshot of the fleet up to date. Listeners are called on the control thread. */
public final class FleetWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration HOSTS_PERIOD = Duration.ofSeconds(1);

    private final HostPlatform platform;
    private final ScheduledExecutorService control;
    private final String rackPrefix;
    private final PrefixWatcher racks;
    private final PrefixWatcher members;
    private final List<Consumer<FleetSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetSnapshot snapshot = FleetSnapshot.EMPTY;

    /** Creates a watcher of one region. */
    public FleetWatcher(
            KeyValueStore store,
            HostPlatform platform,
            Region region,
            ScheduledExecutorService control) {
        this.platform = platform;
        this.control = control;
        rackPrefix = rackPrefix(region);
        racks = new PrefixWatcher(store, rackPrefix, control, this::onRacks);
        members = new PrefixWatcher(store, MemberRecord.PREFIX, control, this::onMembers);
    }

    /** Returns the key prefix of a region's rack records. */
    public static String rackPrefix(Region region) {
        return "fleet/" + region.value() + "/";
    }

    /** Adds a listener that is called with each new snapshot. */
    public void addListener(Consumer<FleetSnapshot> listener) {
        listeners.add(listener);
    }

    /** Starts to watch rack and member records and to poll the host list. */
    public void start() {
        racks.start();
        members.start();
        control.scheduleWithFixedDelay(
                this::readHosts, 0, HOSTS_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops watching rack and member records; the host list is polled until the executor stops. */
    public void stop() {
        racks.stop();
        members.stop();
    }

    /** Returns the latest snapshot, from any thread. */
    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /** Applies a rack record that this daemon has written, before the watch returns it. */
    public void written(RackRecord record, long revision) {
        String key = rackPrefix + record.rack().value();
        racks.written(new StoreEntry(key, revision, RackCodec.encode(record)));
    }

    private void readHosts() {
        platform.hosts()
                .emitOn(control)
                .subscribe()
                .with(
                        this::onHosts,
                        failure ->
                                logger.atFine().log(
                                        "hosts: cannot read the host list: %s",
                                        failure.getMessage()));
    }

    private void onHosts(List<HostEntry> hosts) {
        Map<WorkerId, HostEntry> next = new HashMap<>();
        hosts.forEach(host -> next.put(host.worker(), host));
        if (!next.equals(snapshot.hosts())) {
            publish(snapshot.withHosts(next));
        }
    }

    private void onRacks(Map<String, StoreEntry> entries) {
        Map<RackId, VersionedRack> next = new HashMap<>();
        for (StoreEntry entry : entries.values()) {
            try {
                RackRecord record = RackCodec.decode(entry.value());
                next.put(record.rack(), new VersionedRack(record, entry.revision()));
            } catch (RecordException e) {
                logger.atWarning().withCause(e).log(
                        "fleet: cannot decode rack record %s", entry.key());
            }
        }
        publish(snapshot.withRacks(next));
    }

    private void onMembers(Map<String, StoreEntry> entries) {
        Map<DaemonId, MemberRecord> next = new HashMap<>();
        for (StoreEntry entry : entries.values()) {
            try {
                MemberRecord record = MemberCodec.decode(entry.value());
                next.put(record.daemon(), record);
            } catch (MemberException e) {
                logger.atWarning().withCause(e).log(
                        "members: cannot decode member record %s", entry.key());
            }
        }
        publish(snapshot.withMembers(next));
    }

    private void publish(FleetSnapshot next) {
        snapshot = next;
        listeners.forEach(listener -> listener.accept(next));
    }
}
