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
 * Runs maintenance while this daemon holds the planner role, on the control thread.
 *
 * <p>Each step reads the record from the platform's service and writes it by compare-and-swap
 * before acting on it; while the service cannot be reached nothing is started. If the answer to a
 * write is lost, the next read shows whether it took effect.
 */
public final class MaintenanceRole {
    /** Ticks skipped between two steps while no worker is due or out of service. */
    private static final int IDLE_TICKS = 4;

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
    private final PlannerRole plannerRole;
    private final MaintenancePlanner planner = new DefaultMaintenancePlanner();
    private final Map<WorkerId, Instant> lastDownTimes = new HashMap<>();
    private volatile Optional<MaintenanceStep> latestStep = Optional.empty();
    private int idleTicks;
    private boolean callInProgress;

    /** Creates a role that is held whenever the planner role is. */
    public MaintenanceRole(
            Region region,
            KeyValueStore store,
            HostPlatform platform,
            FleetWatcher fleet,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<FleetConfig> config,
            Supplier<RolloutPolicy> policy,
            PlannerRole plannerRole) {
        this.key = PREFIX + region.value();
        this.region = region;
        this.store = store;
        this.platform = platform;
        this.fleet = fleet;
        this.clock = clock;
        this.control = control;
        this.config = config;
        this.policy = policy;
        this.plannerRole = plannerRole;
    }

    /** Returns the latest step taken by this daemon; empty if it does not hold the role. */
    public Optional<MaintenanceStep> latestStep() {
        return latestStep;
    }

    /**
     * Records when hosts were last down, whether or not this daemon holds the role: a daemon that
     * acquires the role later can then detect that a reboot ended in the meantime.
     */
    public void observe(FleetSnapshot snapshot) {
        lastDownTimes.keySet().retainAll(snapshot.hosts().keySet());
        for (HostEntry host : snapshot.hosts().values()) {
            if (host.state() == HostEntry.State.DOWN) {
                lastDownTimes.put(host.worker(), clock.now());
            }
        }
    }

    /** Takes the next maintenance step if this daemon holds the role. */
    public void tick() {
        if (!plannerRole.isHeld()) {
            latestStep = Optional.empty();
            return;
        }
        if (callInProgress
                || config.get().services().isEmpty()
                || fleet.snapshot().racks().isEmpty()) {
            return;
        }
        if (isIdle() && idleTicks < IDLE_TICKS) {
            idleTicks++;
            return;
        }
        idleTicks = 0;
        callInProgress = true;
        store.get(key).emitOn(control).subscribe().with(this::onRecord, this::onFailure);
    }

    /**
     * Returns whether the latest step found no worker due or out of service, so that the next step
     * can wait.
     */
    private boolean isIdle() {
        return latestStep
                .map(MaintenanceStep::progress)
                .filter(progress -> progress.due() == 0 && progress.active() == 0)
                .isPresent();
    }

    private void onFailure(Throwable failure) {
        callInProgress = false;
        logger.atFine().log(
                "maintenance: cannot read or write the wave record: %s", failure.getMessage());
    }

    private void onRecord(Optional<StoreEntry> entry) {
        callInProgress = false;
        WaveRecord record = WaveRecord.EMPTY;
        try {
            if (entry.isPresent()) {
                record = WaveCodec.decode(entry.get().value());
            }
        } catch (RecordException e) {
            logger.atSevere().withCause(e).log("maintenance: cannot decode the wave record");
            return;
        }
        Epoch epoch = plannerRole.epoch();
        if (!plannerRole.isHeld() || epoch.compareTo(record.epoch()) < 0) {
            return;
        }
        FleetSnapshot snapshot = fleet.snapshot();
        MaintenanceStep step = planner.next(view(snapshot), record, epoch);
        byte[] bytes = WaveCodec.encode(step.record());
        if (entry.isPresent() && Arrays.equals(bytes, entry.get().value())) {
            execute(step, snapshot);
            return;
        }
        callInProgress = true;
        long revision = entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
        store.compareAndSet(key, revision, bytes, Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            callInProgress = false;
                            execute(step, snapshot);
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
                                        int hostSlots = snapshot.hosts().get(host.worker()).slots();
                                        slots.merge(host.pool(), hostSlots, Integer::sum);
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
                            isSurging(service.pool(), slots.getOrDefault(service.pool(), 0))));
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
                lastDownTimes.getOrDefault(worker.worker(), Instant.EPOCH),
                entry.state() == HostEntry.State.LIVE,
                entry.image());
    }

    /**
     * Returns whether a pool is surging: its demand is unknown, or would use all of the given
     * slots.
     */
    private boolean isSurging(PoolId pool, int slots) {
        Optional<DemandDigest> demand = plannerRole.demand(pool);
        return demand.isEmpty()
                || demand.get().offeredByAll() + demand.get().queuedByAll() >= slots;
    }

    private void execute(MaintenanceStep step, FleetSnapshot snapshot) {
        latestStep = Optional.of(step);
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
                .with(
                        done -> {},
                        failure ->
                                logger.atFine().log(
                                        "maintenance: reboot request failed: %s", failure));
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
                        failure ->
                                logger.atFine().log(
                                        "maintenance: cannot write rack record: %s",
                                        failure.getMessage()));
    }

    /**
     * Returns whether a state may be written: only serving workers that are not moving start to
     * drain, and quarantined workers do not return to service.
     */
    private static boolean mayBecome(WorkerRecord worker, WorkerState state) {
        return state == WorkerState.DRAINING
                ? worker.state() == WorkerState.SERVING && !RackTransitions.isMoving(worker)
                : worker.state() != WorkerState.QUARANTINED;
    }
}
