package org.crocusgrade.daemon.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.fleet.InitialPools;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.SlotTimes;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetSnapshot.VersionedRack;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;

/**
 * Keeps the racks that this daemon owns: makes records for new racks, takes racks without an owner,
 * and carries out moves. Everything here runs on the control thread; every write is a
 * compare-and-swap on the revision that the decision was made from.
 */
public final class RackKeeper {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How long a rack's owner must be missing from the members before the rack is taken. */
    private static final Duration OWNER_MISSING = Duration.ofSeconds(3);

    private final DaemonId self;
    private final BootId boot;
    private final Region region;
    private final KeyValueStore store;
    private final FleetWatcher watcher;
    private final MemberSession session;
    private final SlotTable table;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Supplier<FleetConfig> config;
    private final Set<RackId> busy = new HashSet<>();
    private final Set<RackId> granted = new HashSet<>();
    private final Map<RackId, Long> missingSince = new HashMap<>();

    /** Makes a keeper without racks. */
    public RackKeeper(
            DaemonId self,
            BootId boot,
            Region region,
            KeyValueStore store,
            FleetWatcher watcher,
            MemberSession session,
            SlotTable table,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<FleetConfig> config) {
        this.self = self;
        this.boot = boot;
        this.region = region;
        this.store = store;
        this.watcher = watcher;
        this.session = session;
        this.table = table;
        this.clock = clock;
        this.control = control;
        this.config = config;
    }

    /** Does what is due for each rack. */
    public void tick() {
        Optional<MemberSession.Held> lease = session.valid();
        table.setAuthorityEnd(lease.map(MemberSession.Held::endNanos).orElse(clock.nanoTime()));
        if (lease.isEmpty()) {
            return;
        }
        FleetSnapshot fleet = watcher.snapshot();
        createRacks(fleet);
        for (VersionedRack rack : fleet.racks().values()) {
            if (isOwned(rack.record())) {
                keep(rack, fleet);
            } else {
                consider(rack, fleet);
            }
        }
    }

    /** Returns the number of racks owned. */
    public int owned() {
        return granted.size();
    }

    private boolean isOwned(RackRecord record) {
        return record.owner().equals(Optional.of(self))
                && record.ownerBoot().equals(Optional.of(boot));
    }

    private void createRacks(FleetSnapshot fleet) {
        Map<RackId, List<HostEntry>> racks = new HashMap<>();
        for (HostEntry host : fleet.hosts().values()) {
            if (!fleet.racks().containsKey(host.rack())) {
                racks.computeIfAbsent(host.rack(), rack -> new ArrayList<>()).add(host);
            }
        }
        if (racks.isEmpty() || !fleet.members().containsKey(self)) {
            return;
        }
        List<HostEntry> hosts = new ArrayList<>(fleet.hosts().values());
        Map<WorkerId, PoolId> pools = InitialPools.assign(hosts, config.get());
        if (pools.isEmpty()) {
            return;
        }
        for (Map.Entry<RackId, List<HostEntry>> rack : racks.entrySet()) {
            if (preferred(rack.getKey(), fleet).equals(Optional.of(self))) {
                create(rack.getKey(), rack.getValue(), pools);
            }
        }
    }

    private void create(RackId rack, List<HostEntry> hosts, Map<WorkerId, PoolId> pools) {
        hosts.sort(Comparator.comparing(HostEntry::worker));
        List<WorkerRecord> workers = new ArrayList<>();
        for (HostEntry host : hosts) {
            PoolId pool = pools.get(host.worker());
            workers.add(new WorkerRecord(host.worker(), pool, pool, WorkerState.SERVING));
        }
        RackRecord record =
                new RackRecord(
                        rack,
                        hosts.get(0).zone(),
                        Optional.of(self),
                        Optional.of(boot),
                        Epoch.NONE.next(),
                        workers);
        write(record, KeyValueStore.ABSENT);
    }

    private void consider(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        RackId id = record.rack();
        if (granted.remove(id)) {
            record.workers().forEach(worker -> table.removeWorker(worker.worker()));
        }
        if (isOwnerLive(record, fleet)) {
            missingSince.remove(id);
            return;
        }
        long now = clock.nanoTime();
        long since = missingSince.computeIfAbsent(id, key -> now);
        boolean mine = preferred(id, fleet).equals(Optional.of(self));
        if (!mine || now - since < OWNER_MISSING.toNanos()) {
            return;
        }
        logger.atInfo().log("owner: taking rack %s", id);
        write(
                new RackRecord(
                        id,
                        record.zone(),
                        Optional.of(self),
                        Optional.of(boot),
                        record.epoch().next(),
                        record.workers()),
                rack.revision());
    }

    private static boolean isOwnerLive(RackRecord record, FleetSnapshot fleet) {
        return record.owner()
                .map(fleet.members()::get)
                .filter(member -> Optional.of(member.boot()).equals(record.ownerBoot()))
                .isPresent();
    }

    private void keep(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        if (granted.add(record.rack())) {
            adopt(record, fleet);
        }
        long now = clock.nanoTime();
        List<WorkerRecord> next = new ArrayList<>();
        for (WorkerRecord worker : record.workers()) {
            boolean live =
                    fleet.host(worker.worker())
                            .filter(host -> host.state() == HostEntry.State.LIVE)
                            .isPresent();
            boolean moves = !worker.pool().equals(worker.target());
            table.setServing(
                    worker.worker(), live && !moves && worker.state() == WorkerState.SERVING);
            boolean free = table.outstanding(worker.worker(), now).isNone();
            next.add(moves && free ? moved(worker) : worker);
        }
        if (!next.equals(record.workers())) {
            write(
                    new RackRecord(
                            record.rack(),
                            record.zone(),
                            record.owner(),
                            record.ownerBoot(),
                            record.epoch(),
                            next),
                    rack.revision());
        }
    }

    private static WorkerRecord moved(WorkerRecord worker) {
        return new WorkerRecord(worker.worker(), worker.target(), worker.target(), worker.state());
    }

    private void adopt(RackRecord record, FleetSnapshot fleet) {
        long quiet = clock.nanoTime() + SlotTimes.DEFAULT.ownerLeaseNanos();
        boolean isNew = record.epoch().equals(Epoch.NONE.next());
        for (WorkerRecord worker : record.workers()) {
            int slots = fleet.host(worker.worker()).map(HostEntry::slots).orElse(0);
            if (slots == 0) {
                granted.remove(record.rack());
                return;
            }
            if (isNew) {
                table.addNew(worker.worker(), record.zone(), worker.pool(), slots);
            } else {
                table.adopt(worker.worker(), record.zone(), worker.pool(), slots, quiet);
            }
        }
    }

    private void write(RackRecord record, long revision) {
        RackId rack = record.rack();
        if (!busy.add(rack)) {
            return;
        }
        String key = FleetWatcher.rackPrefix(region) + rack.value();
        store.compareAndSet(key, revision, RackCodec.encode(record), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            busy.remove(rack);
                            record.workers()
                                    .forEach(
                                            worker ->
                                                    table.setPool(worker.worker(), worker.pool()));
                            watcher.written(record, written);
                        },
                        failure -> {
                            busy.remove(rack);
                            logger.atFine().log("owner: write of %s: %s", rack, failure);
                        });
    }

    /** Returns the live daemon with the highest hash for the rack. */
    private static Optional<DaemonId> preferred(RackId rack, FleetSnapshot fleet) {
        return fleet.members().keySet().stream()
                .max(
                        Comparator.comparingInt(
                                        (DaemonId daemon) ->
                                                (daemon.value() + "/" + rack.value()).hashCode()
                                                        * 0x9E3779B9)
                                .thenComparing(Comparator.naturalOrder()));
    }
}
