package org.crocusgrade.daemon.planner;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.fleet.plan.DemandDigest;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.DefaultMaintenancePlanner;
import org.crocusgrade.core.maintenance.MaintenanceDecision;
import org.crocusgrade.core.maintenance.MaintenancePlanner;
import org.crocusgrade.core.maintenance.MaintenanceStep;
import org.crocusgrade.core.maintenance.MaintenanceView;
import org.crocusgrade.core.maintenance.RolloutPolicy;
import org.crocusgrade.core.maintenance.WaveCodec;
import org.crocusgrade.core.maintenance.WaveRecord;
import org.crocusgrade.core.member.RackTransitions;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.HostPlatform;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetSnapshot.VersionedRack;
import org.crocusgrade.daemon.control.FleetWatcher;

/**
 * Carries out maintenance while this daemon holds the planner's role. The record in the platform's
 * service is read before and written by compare-and-swap ahead of each step's deeds; with the
 * service down nothing is begun. A lost answer is resolved by the next reading. Everything here
 * runs on the control thread.
 */
public final class MaintenanceRole {
    /** Ticks that pass between two looks while nothing is due. */
    private static final int QUIET_TICKS = 4;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "maintenance/";

    private final String key;
    private final Region region;
    private final KeyValueStore store;
    private final HostPlatform platform;
    private final FleetWatcher fleet;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Supplier<FleetConfig> config;
    private final Supplier<RolloutPolicy> policy;
    private final PlannerRole role;
    private final MaintenancePlanner planner = new DefaultMaintenancePlanner();
    private final Map<WorkerId, Instant> lastDown = new HashMap<>();
    private volatile Optional<MaintenanceStep> last = Optional.empty();
    private int quietTicks;
    private boolean busy;

    /** Makes a role that follows the planner's. */
    public MaintenanceRole(
            Region region,
            KeyValueStore store,
            HostPlatform platform,
            FleetWatcher fleet,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<FleetConfig> config,
            Supplier<RolloutPolicy> policy,
            PlannerRole role) {
        this.key = PREFIX + region.value();
        this.region = region;
        this.store = store;
        this.platform = platform;
        this.fleet = fleet;
        this.clock = clock;
        this.control = control;
        this.config = config;
        this.policy = policy;
        this.role = role;
    }

    /** Returns the latest step of this daemon, if it holds the role. */
    public Optional<MaintenanceStep> last() {
        return last;
    }

    /**
     * Remembers which hosts are down, whoever holds the role: a daemon that takes it over then
     * knows of a reboot that ended meanwhile.
     */
    public void observe(FleetSnapshot snapshot) {
        lastDown.keySet().retainAll(snapshot.hosts().keySet());
        for (HostEntry host : snapshot.hosts().values()) {
            if (host.state() == HostEntry.State.DOWN) {
                lastDown.put(host.worker(), clock.now());
            }
        }
    }

    /** Takes the next step, if this daemon holds the role. */
    public void tick() {
        if (!role.isHeld()) {
            last = Optional.empty();
            return;
        }
        if (busy || config.get().services().isEmpty() || fleet.snapshot().racks().isEmpty()) {
            return;
        }
        if (isQuiet() && quietTicks < QUIET_TICKS) {
            quietTicks++;
            return;
        }
        quietTicks = 0;
        busy = true;
        store.get(key).emitOn(control).subscribe().with(this::onRecord, this::onFailure);
    }

    /** Returns whether the last look found no worker due or out, so that the next can wait. */
    private boolean isQuiet() {
        return last.map(MaintenanceStep::progress)
                .filter(progress -> progress.due() == 0 && progress.active() == 0)
                .isPresent();
    }

    private void onFailure(Throwable failure) {
        busy = false;
        logger.atFine().log("maintenance: %s", failure.getMessage());
    }

    private void onRecord(Optional<StoreEntry> entry) {
        busy = false;
        WaveRecord record = WaveRecord.EMPTY;
        try {
            if (entry.isPresent()) {
                record = WaveCodec.decode(entry.get().value());
            }
        } catch (RecordException e) {
            logger.atSevere().withCause(e).log("maintenance: the record cannot be read");
            return;
        }
        Epoch epoch = role.epoch();
        if (!role.isHeld() || epoch.compareTo(record.epoch()) < 0) {
            return;
        }
        FleetSnapshot snapshot = fleet.snapshot();
        MaintenanceStep step = planner.next(view(snapshot), record, epoch);
        byte[] bytes = WaveCodec.encode(step.record());
        if (entry.isPresent() && Arrays.equals(bytes, entry.get().value())) {
            carryOut(step, snapshot);
            return;
        }
        busy = true;
        long revision = entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
        store.compareAndSet(key, revision, bytes, Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            busy = false;
                            carryOut(step, snapshot);
                        },
                        this::onFailure);
    }

    private MaintenanceView view(FleetSnapshot snapshot) {
        List<MaintenanceView.Host> hosts = new ArrayList<>();
        Map<PoolId, Integer> slots = new HashMap<>();
        for (VersionedRack rack : snapshot.racks().values()) {
            for (WorkerRecord worker : rack.record().workers()) {
                snapshot.host(worker.worker())
                        .map(entry -> host(rack.record(), worker, entry))
                        .ifPresent(
                                host -> {
                                    hosts.add(host);
                                    if (host.serves()) {
                                        int more = snapshot.hosts().get(host.worker()).slots();
                                        slots.merge(host.pool(), more, Integer::sum);
                                    }
                                });
            }
        }
        List<MaintenanceView.Pool> pools = new ArrayList<>();
        for (ServiceConfig service : config.get().services().values()) {
            pools.add(
                    new MaintenanceView.Pool(
                            service.pool(),
                            service.capacity().minWorkers(),
                            service.budget(),
                            service.maintenance(),
                            surges(service.pool(), slots.getOrDefault(service.pool(), 0))));
        }
        return new MaintenanceView(clock.now(), policy.get(), hosts, pools);
    }

    private MaintenanceView.Host host(RackRecord rack, WorkerRecord worker, HostEntry entry) {
        return new MaintenanceView.Host(
                worker.worker(),
                rack.rack(),
                rack.zone(),
                worker.pool(),
                RackTransitions.isMoving(worker),
                worker.state(),
                entry.state(),
                lastDown.getOrDefault(worker.worker(), Instant.EPOCH),
                entry.state() == HostEntry.State.LIVE,
                entry.image());
    }

    /** A pool whose demand is not known, or would fill it, counts as surging. */
    private boolean surges(PoolId pool, int slots) {
        Optional<DemandDigest> demand = role.demand(pool);
        return demand.isEmpty()
                || demand.get().offeredByAll() + demand.get().queuedByAll() >= slots;
    }

    private void carryOut(MaintenanceStep step, FleetSnapshot snapshot) {
        last = Optional.of(step);
        Map<WorkerId, WorkerState> states = new HashMap<>();
        for (MaintenanceDecision decision : step.decisions()) {
            if (decision instanceof MaintenanceDecision.Drain drain) {
                states.put(drain.worker(), WorkerState.DRAINING);
            } else if (decision instanceof MaintenanceDecision.GiveBack back) {
                states.put(back.worker(), WorkerState.SERVING);
            } else if (decision instanceof MaintenanceDecision.Reboot reboot) {
                reboot(reboot);
            }
        }
        snapshot.racks().values().forEach(rack -> write(rack, states));
    }

    private void reboot(MaintenanceDecision.Reboot reboot) {
        logger.atInfo().log("maintenance: rebooting %s", reboot.worker());
        platform.reboot(reboot.worker(), reboot.image(), reboot.operation())
                .emitOn(control)
                .subscribe()
                .with(done -> {}, failure -> logger.atFine().log("maintenance: %s", failure));
    }

    private void write(VersionedRack rack, Map<WorkerId, WorkerState> states) {
        RackRecord next = rack.record();
        for (WorkerRecord worker : rack.record().workers()) {
            WorkerState state = states.get(worker.worker());
            if (state != null && mayBecome(worker, state)) {
                next = RackTransitions.withState(next, worker.worker(), state);
            }
        }
        if (next.equals(rack.record())) {
            return;
        }
        RackRecord changed = next;
        String rackKey = FleetWatcher.rackPrefix(region) + changed.rack().value();
        store.compareAndSet(rackKey, rack.revision(), RackCodec.encode(changed), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        revision -> fleet.written(changed, revision),
                        failure -> logger.atFine().log("maintenance: %s", failure.getMessage()));
    }

    /** A worker drains only from serving, and one that failed is not given back. */
    private static boolean mayBecome(WorkerRecord worker, WorkerState state) {
        return state == WorkerState.DRAINING
                ? worker.state() == WorkerState.SERVING && !RackTransitions.isMoving(worker)
                : worker.state() != WorkerState.QUARANTINED;
    }
}
