package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.fleet.plan.PoolBalancer;
import org.crocusgrade.core.fleet.plan.PoolNeed;
import org.crocusgrade.core.fleet.plan.TurnForecast;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.Right;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * Holds the fleet's duty: moves hosts between pools and carries out waves of maintenance.
 *
 * <p>Workers' hosts do not check tokens, so the duty itself must keep holders apart: a new holder
 * waits until the last one's lease and the platform's turn have passed, and before each round of
 * orders the store must still name this holder. A host is ordered about only when its pool's owner
 * has said that it is empty and stays so.
 */
final class FleetHolder implements FleetRight {
    /** The time between looks at the hosts while something is to do, in milliseconds. */
    private static final long BUSY_LOOK_MILLIS = 500;

    /** The time between repetitions of what the owners are asked, in milliseconds. */
    private static final long REPEAT_MILLIS = 300;

    /** How old an owner's report may be; a new owner starts nothing for longer. */
    private static final Duration STATUS_AGE = Duration.ofMillis(350);

    /** How long a claim of a former holder may be on its way beyond its lease. */
    private static final Duration FORMER_LEASE = Duration.ofMillis(500);

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLI = 1000;

    private final Runtime runtime;
    private final DaemonId self;
    private final Consumer<EvacuationMessage> evacuations;
    private final Map<ServiceId, PoolStatus> pools = new HashMap<>();
    private final TurnForecast forecast = new TurnForecast();
    private final WaveRunner waves;
    private final HostMover mover;
    private Map<HostId, PooledHost> hosts = Map.of();
    private Set<ServiceId> standbyPools = Set.of();
    private Set<HostId> evacuating = Set.of();
    private Set<ServiceId> toldPools = Set.of();
    private Optional<Tenure> tenure = Optional.empty();
    private DutyKeeper duties;
    private long gainedNanos;
    private long lookedNanos;
    private long viewedNanos;
    private long toldNanos;
    private boolean looking;
    private boolean checking;
    private long sequence;

    FleetHolder(Runtime runtime, DaemonId self, Consumer<EvacuationMessage> evacuations) {
        this.runtime = runtime;
        this.self = self;
        this.evacuations = evacuations;
        waves = new WaveRunner(runtime, this);
        mover = new HostMover(runtime, this, new PoolBalancer(forecast));
    }

    void gain(Tenure gained, DutyKeeper keeper) {
        tenure = Optional.of(gained);
        duties = keeper;
        gainedNanos = runtime.clock().nanoTime();
        hosts = Map.of();
        waves.begin(keeper.entries());
        mover.begin();
    }

    void lose() {
        tenure = Optional.empty();
        evacuating = Set.of();
    }

    void setStandbyPools(Set<ServiceId> pools) {
        standbyPools = pools;
    }

    void onOperatorEntries(Map<String, StoreEntry> entries) {
        waves.onOperatorEntries(entries, duties == null ? Map.of() : duties.entries());
    }

    void onPoolStatus(PoolStatusMessage status) {
        pools.put(
                new ServiceId(status.getService()),
                new PoolStatus(status, runtime.clock().nanoTime()));
    }

    void tick() {
        if (tenure.isEmpty()) {
            return;
        }
        double now = seconds();
        pools.forEach((pool, status) -> observe(pool, status, now));
        look();
        if (hosts.isEmpty()) {
            return;
        }
        Map<HostId, HostView> views = views();
        Map<ServiceId, Long> pressure = new HashMap<>();
        pools.forEach((pool, s) -> pressure.put(pool, s.message.getWaitingMilliCores()));
        Set<HostId> evacuate = new HashSet<>();
        List<Runnable> orders = new ArrayList<>();
        waves.decide(views, viewedNanos, pressure, evacuate, orders);
        mover.decide(now, views, needs(), evacuate, orders);
        tellEvacuations(evacuate);
        carryOut(orders);
    }

    private void observe(ServiceId pool, PoolStatus status, double now) {
        if (!status.observed) {
            status.observed = true;
            forecast.observe(pool, now, status.message.getOfferedMilliCores() / MILLI);
        }
    }

    private Map<ServiceId, PoolNeed> needs() {
        Map<ServiceId, PoolNeed> needs = new HashMap<>();
        for (Map.Entry<ServiceId, PoolStatus> entry : pools.entrySet()) {
            PoolStatusMessage message = entry.getValue().message;
            if (isFresh(entry.getValue())) {
                needs.put(
                        entry.getKey(),
                        new PoolNeed(
                                entry.getKey(),
                                message.getLongRunningMilliCores() / MILLI,
                                message.getBatchMilliCores() / MILLI,
                                message.getBacklogCoreMillis() / MILLI));
            }
        }
        return needs;
    }

    private boolean isFresh(PoolStatus status) {
        return runtime.clock().nanoTime() - status.atNanos <= STATUS_AGE.toNanos();
    }

    private double seconds() {
        return runtime.clock().nanoTime() / NANOS_PER_SECOND;
    }

    // What is known of the hosts.

    private void look() {
        long now = runtime.clock().nanoTime();
        if (looking || now - lookedNanos < BUSY_LOOK_MILLIS * NANOS_PER_MILLI) {
            return;
        }
        looking = true;
        lookedNanos = now;
        runtime.hosts()
                .hosts()
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        found -> {
                            looking = false;
                            Map<HostId, PooledHost> byName = new HashMap<>();
                            found.forEach(h -> byName.put(h.host(), h));
                            hosts = byName;
                            viewedNanos = now;
                        },
                        f -> {
                            looking = false;
                            runtime.log().log(
                                    Event.DEPENDENCY_LOST,
                                    "dependency",
                                    "hosts",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private Map<HostId, HostView> views() {
        Map<WorkerId, WorkerStatusMessage> told = new HashMap<>();
        for (PoolStatus status : pools.values()) {
            if (isFresh(status)) {
                status.message
                        .getWorkersList()
                        .forEach(w -> told.put(new WorkerId(w.getWorker()), w));
            }
        }
        Map<HostId, HostView> views = new HashMap<>();
        for (PooledHost host : hosts.values()) {
            Optional<WorkerStatusMessage> worker = host.worker().map(told::get);
            Optional<String> rack =
                    host.labels().size() > 1 ? Optional.of(host.labels().get(1)) : Optional.empty();
            views.put(
                    host.host(),
                    new HostView(
                            host.host(),
                            host.pool(),
                            host.worker(),
                            host.state(),
                            rack,
                            host.capacity().milliCores(),
                            standbyPools.contains(host.pool()),
                            worker.isPresent(),
                            worker.map(WorkerStatusMessage::getEvacuating).orElse(false),
                            worker.map(WorkerStatusMessage::getRunning).orElse(0),
                            worker.map(WorkerStatusMessage::getLongRunning).orElse(0)));
        }
        return views;
    }

    // What the owners are asked.

    private void tellEvacuations(Set<HostId> wanted) {
        long now = runtime.clock().nanoTime();
        boolean due = now - toldNanos >= REPEAT_MILLIS * NANOS_PER_MILLI;
        if (wanted.equals(evacuating) && (!due || wanted.isEmpty() && toldPools.isEmpty())) {
            return;
        }
        evacuating = Set.copyOf(wanted);
        toldNanos = now;
        Map<ServiceId, EvacuationMessage.Builder> messages = new HashMap<>();
        for (ServiceId pool : toldPools) {
            messages.put(pool, message(pool));
        }
        for (HostId host : wanted) {
            PooledHost pooled = hosts.get(host);
            if (pooled != null && pooled.worker().isPresent()) {
                messages.computeIfAbsent(pooled.pool(), this::message)
                        .addWorkers(pooled.worker().get().value());
            }
        }
        messages.values().forEach(m -> evacuations.accept(m.build()));
        Set<ServiceId> open = new HashSet<>();
        messages.forEach(
                (pool, m) -> {
                    if (m.getWorkersCount() > 0) {
                        open.add(pool);
                    }
                });
        toldPools = open;
    }

    private EvacuationMessage.Builder message(ServiceId pool) {
        return EvacuationMessage.newBuilder().setService(pool.value()).setSequence(++sequence);
    }

    // Orders.

    /** Carries orders out once the store has confirmed that the duty is still held. */
    private void carryOut(List<Runnable> orders) {
        if (orders.isEmpty() || checking || !isTurnOver()) {
            return;
        }
        Tenure held = tenure.orElseThrow();
        checking = true;
        runtime.store()
                .get(held.key())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> {
                            checking = false;
                            boolean mine = e.isPresent() && e.get().revision() == held.token();
                            if (mine && tenure.equals(Optional.of(held))) {
                                orders.forEach(runtime::guard);
                            } else if (!mine) {
                                duties.lose(held.duty(), "the store names another holder");
                            }
                        },
                        f -> {
                            checking = false;
                            runtime.log().log(
                                    Event.STORE_FAILED,
                                    "call",
                                    "check of duty",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private boolean isTurnOver() {
        if (tenure.orElseThrow().term() == 1) {
            return true;
        }
        Duration turn = runtime.limits().orderTurn().plus(FORMER_LEASE);
        return runtime.clock().nanoTime() - gainedNanos > turn.toNanos();
    }

    @Override
    public Optional<Tenure> tenure() {
        return tenure;
    }

    @Override
    public void lookAgain() {
        lookedNanos = 0;
    }

    @Override
    public Right right() {
        return new Right(self.value(), tenure.orElseThrow().token());
    }

    @Override
    public boolean isConfirmedBy(Tenure held, CommitResult result) {
        if (!result.applied()) {
            duties.lose(held.duty(), "the store names another holder");
        }
        return result.applied();
    }

    /** An owner's latest report. */
    private static final class PoolStatus {
        private final PoolStatusMessage message;
        private final long atNanos;
        private boolean observed;

        PoolStatus(PoolStatusMessage message, long atNanos) {
            this.message = message;
            this.atNanos = atNanos;
        }
    }
}
