package org.crocusgrade.daemon.owner;

import com.google.common.flogger.FluentLogger;
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
import org.crocusgrade.core.fleet.SlotLeaseTiming;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.member.AuthorityRecord;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.RackTransitions;
import org.crocusgrade.core.member.Rendezvous;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetSnapshot.VersionedRack;
import org.crocusgrade.daemon.control.FleetWatcher;

/**
 * Keeps the racks that this daemon owns: makes records for new racks, takes racks without an owner,
 * and carries out moves. Everything here runs on the control thread; every write is a
 * compare-and-swap on the revision that the decision was made from.
 */
public final class RackKeeper {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DaemonId self;
    private final Region region;
    private final KeyValueStore store;
    private final FleetWatcher watcher;
    private final AuthorityKeeper authority;
    private final TakeOverKeeper takeOvers;
    private final SlotTable table;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Supplier<FleetConfig> config;
    private final Set<RackId> busy = new HashSet<>();
    private final Set<RackId> granted = new HashSet<>();
    private final Set<RackId> handedOver = new HashSet<>();
    private boolean leaving;
    private volatile int owned;

    /** Makes a keeper without racks. */
    public RackKeeper(
            DaemonId self,
            Region region,
            KeyValueStore store,
            FleetWatcher watcher,
            AuthorityKeeper authority,
            TakeOverKeeper takeOvers,
            SlotTable table,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<FleetConfig> config) {
        this.self = self;
        this.region = region;
        this.store = store;
        this.watcher = watcher;
        this.authority = authority;
        this.takeOvers = takeOvers;
        this.table = table;
        this.clock = clock;
        this.control = control;
        this.config = config;
    }

    /** Does what is due for each rack. */
    public void tick() {
        long now = clock.nanoTime();
        table.setAuthorityEnd(authority.end(now));
        FleetSnapshot fleet = watcher.snapshot();
        boolean mayTake = !leaving && authority.mayTake(now);
        if (mayTake) {
            createRacks(fleet);
        }
        for (VersionedRack rack : fleet.racks().values()) {
            if (RackTransitions.isOwner(rack.record(), authority.run())) {
                keep(rack, fleet);
                continue;
            }
            forget(rack.record());
            if (mayTake) {
                consider(rack, fleet);
            }
        }
        owned = granted.size();
    }

    /** Returns the number of racks owned, from any thread. */
    public int owned() {
        return owned;
    }

    /** Returns whether any worker of this daemon's racks moves or drains; on the control thread. */
    public boolean isChanging() {
        for (VersionedRack rack : watcher.snapshot().racks().values()) {
            if (RackTransitions.isOwner(rack.record(), authority.run())
                    && isChanging(rack.record())) {
                return true;
            }
        }
        return leaving;
    }

    private static boolean isChanging(RackRecord record) {
        for (WorkerRecord worker : record.workers()) {
            boolean moves = !worker.pool().equals(worker.target());
            if (moves || worker.state() == WorkerState.DRAINING) {
                return true;
            }
        }
        return false;
    }

    /** Begins to give all racks up: no slot is leased any more, and each rack goes when it can. */
    public void leave() {
        leaving = true;
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
                        Optional.of(authority.run().boot()),
                        Epoch.NONE.next(),
                        workers);
        write(record, KeyValueStore.ABSENT);
    }

    private void forget(RackRecord record) {
        if (granted.remove(record.rack())) {
            record.workers().forEach(worker -> table.removeWorker(worker.worker()));
        }
    }

    private void consider(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        Optional<AuthorityRecord> owner = record.owner().flatMap(takeOvers::record);
        RackTransitions.Take take = RackTransitions.take(record, owner);
        boolean mine = preferred(record.rack(), fleet).equals(Optional.of(self));
        if (take == RackTransitions.Take.NO || !mine || busy.contains(record.rack())) {
            return;
        }
        logger.atInfo().log("owner: taking rack %s", record.rack());
        if (take == RackTransitions.Take.AT_ONCE) {
            handedOver.add(record.rack());
        } else {
            handedOver.remove(record.rack());
        }
        write(RackTransitions.taken(record, authority.run()), rack.revision());
    }

    private void keep(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        if (granted.add(record.rack())) {
            adopt(record, fleet);
        }
        long now = clock.nanoTime();
        RackRecord next = record;
        boolean idle = true;
        for (WorkerRecord worker : record.workers()) {
            boolean live =
                    fleet.host(worker.worker())
                            .filter(host -> host.state() == HostEntry.State.LIVE)
                            .isPresent();
            boolean moves = RackTransitions.isMoving(worker);
            boolean serves = live && !moves && worker.state() == WorkerState.SERVING;
            boolean inPool = table.setPool(worker.worker(), worker.pool());
            table.setServing(worker.worker(), serves && inPool && !leaving);
            SlotTable.Outstanding out = table.outstanding(worker.worker(), now);
            idle &= RackTransitions.mayGiveUp(out);
            if (moves && RackTransitions.mayCommit(out, false)) {
                next = RackTransitions.committed(next, worker.worker());
            }
            boolean drains = worker.state() == WorkerState.DRAINING && !moves;
            if (drains && RackTransitions.mayCommit(out, false)) {
                next = RackTransitions.withState(next, worker.worker(), WorkerState.MAINTENANCE);
            }
        }
        if (leaving && idle) {
            write(RackTransitions.givenUp(record), rack.revision());
        } else if (!next.equals(record)) {
            write(next, rack.revision());
        }
    }

    private void adopt(RackRecord record, FleetSnapshot fleet) {
        long now = clock.nanoTime();
        boolean handed = handedOver.remove(record.rack());
        long quiet = handed ? now : now + SlotLeaseTiming.DEFAULT.ownerLeaseNanos();
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
                            watcher.written(record, written);
                        },
                        failure -> {
                            busy.remove(rack);
                            logger.atFine().log("owner: write of %s: %s", rack, failure);
                        });
    }

    /** Returns the live daemon of the region with the highest hash for the rack. */
    private Optional<DaemonId> preferred(RackId rack, FleetSnapshot fleet) {
        List<DaemonId> daemons = new ArrayList<>();
        for (MemberRecord member : fleet.members().values()) {
            if (member.region().equals(region)) {
                daemons.add(member.daemon());
            }
        }
        return Rendezvous.highest(FleetWatcher.rackPrefix(region) + rack.value(), daemons);
    }
}
