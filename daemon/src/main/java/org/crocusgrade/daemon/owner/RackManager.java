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
 * Manages the racks that this daemon owns: creates records for new racks, takes racks without an
 * owner, and completes moves of workers. Runs on the control thread; every write is a
 * compare-and-swap on the revision that the decision was based on.
 */
public final class RackManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DaemonId self;
    private final Region region;
    private final KeyValueStore store;
    private final FleetWatcher watcher;
    private final AuthorityManager authority;
    private final TakeOverManager takeOvers;
    private final SlotTable table;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Supplier<FleetConfig> config;
    private final Set<RackId> writesInProgress = new HashSet<>();
    private final Set<RackId> activeRacks = new HashSet<>();
    private final Set<RackId> releasedRacks = new HashSet<>();
    private boolean leaving;
    private volatile int owned;

    /** Creates a manager without racks. */
    public RackManager(
            DaemonId self,
            Region region,
            KeyValueStore store,
            FleetWatcher watcher,
            AuthorityManager authority,
            TakeOverManager takeOvers,
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

    /** Creates, takes, updates and releases racks where that is due. */
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
                updateOwned(rack, fleet);
                continue;
            }
            removeWorkers(rack.record());
            if (mayTake) {
                takeIfEligible(rack, fleet);
            }
        }
        owned = activeRacks.size();
    }

    /** Returns the number of racks owned, from any thread. */
    public int owned() {
        return owned;
    }

    /**
     * Returns whether any worker of this daemon's racks is moving or draining, or the daemon is
     * leaving; on the control thread.
     */
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

    /**
     * Starts to release all racks: no more slots are granted, and each rack is released once its
     * slots allow it.
     */
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
            if (preferredOwner(rack.getKey(), fleet).equals(Optional.of(self))) {
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

    private void removeWorkers(RackRecord record) {
        if (activeRacks.remove(record.rack())) {
            record.workers().forEach(worker -> table.removeWorker(worker.worker()));
        }
    }

    private void takeIfEligible(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        Optional<AuthorityRecord> owner = record.owner().flatMap(takeOvers::record);
        RackTransitions.TakeCondition condition = RackTransitions.takeCondition(record, owner);
        boolean isPreferred = preferredOwner(record.rack(), fleet).equals(Optional.of(self));
        if (condition == RackTransitions.TakeCondition.FORBIDDEN
                || !isPreferred
                || writesInProgress.contains(record.rack())) {
            return;
        }
        logger.atInfo().log("owner: taking rack %s", record.rack());
        if (condition == RackTransitions.TakeCondition.IMMEDIATE) {
            releasedRacks.add(record.rack());
        } else {
            releasedRacks.remove(record.rack());
        }
        write(RackTransitions.taken(record, authority.run()), rack.revision());
    }

    private void updateOwned(VersionedRack rack, FleetSnapshot fleet) {
        RackRecord record = rack.record();
        if (activeRacks.add(record.rack())) {
            addWorkers(record, fleet);
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
            SlotTable.Outstanding outstanding = table.outstanding(worker.worker(), now);
            idle &= RackTransitions.mayRelease(outstanding);
            if (moves && RackTransitions.mayCommit(outstanding, false)) {
                next = RackTransitions.committed(next, worker.worker());
            }
            boolean drains = worker.state() == WorkerState.DRAINING && !moves;
            if (drains && RackTransitions.mayCommit(outstanding, false)) {
                next = RackTransitions.withState(next, worker.worker(), WorkerState.MAINTENANCE);
            }
        }
        if (leaving && idle) {
            write(RackTransitions.released(record), rack.revision());
        } else if (!next.equals(record)) {
            write(next, rack.revision());
        }
    }

    private void addWorkers(RackRecord record, FleetSnapshot fleet) {
        long now = clock.nanoTime();
        boolean released = releasedRacks.remove(record.rack());
        long leasesEndNanos = released ? now : now + SlotLeaseTiming.DEFAULT.ownerLeaseNanos();
        boolean isNew = record.epoch().equals(Epoch.NONE.next());
        for (WorkerRecord worker : record.workers()) {
            int slots = fleet.host(worker.worker()).map(HostEntry::slots).orElse(0);
            if (slots == 0) {
                activeRacks.remove(record.rack());
                return;
            }
            if (isNew) {
                table.addNew(worker.worker(), record.zone(), worker.pool(), slots);
            } else {
                table.adopt(worker.worker(), record.zone(), worker.pool(), slots, leasesEndNanos);
            }
        }
    }

    private void write(RackRecord record, long revision) {
        RackId rack = record.rack();
        if (!writesInProgress.add(rack)) {
            return;
        }
        String key = FleetWatcher.rackPrefix(region) + rack.value();
        store.compareAndSet(key, revision, RackCodec.encode(record), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            writesInProgress.remove(rack);
                            watcher.written(record, written);
                        },
                        failure -> {
                            writesInProgress.remove(rack);
                            logger.atFine().log(
                                    "owner: cannot write rack record %s: %s", rack, failure);
                        });
    }

    /** Returns the member of this region with the highest rendezvous hash for the rack. */
    private Optional<DaemonId> preferredOwner(RackId rack, FleetSnapshot fleet) {
        List<DaemonId> daemons = new ArrayList<>();
        for (MemberRecord member : fleet.members().values()) {
            if (member.region().equals(region)) {
                daemons.add(member.daemon());
            }
        }
        return Rendezvous.highest(FleetWatcher.rackPrefix(region) + rack.value(), daemons);
    }
}
