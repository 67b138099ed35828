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
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.Right;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
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
    private final Set<ServiceId> toldPools = new HashSet<>();
    private final Map<HostId, Long> orderedNanos = new HashMap<>();
    private Optional<Tenure> tenure = Optional.empty();
    private Set<HostId> orderedByFormer = Set.of();
    private boolean handedOver;
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
        orderedNanos.clear();
        takeNote(gained, keeper.entries().get(StoreKeys.FLEET_NOTE));
        waves.begin(keeper.entries());
        mover.begin();
    }

    /** Goes on where the last holder has stopped, as far as it has left a note. */
    private void takeNote(Tenure gained, StoreEntry entry) {
        handedOver = false;
        orderedByFormer = Set.of();
        if (entry == null) {
            return;
        }
        try {
            FleetNote note = FleetNote.decode(entry.value());
            handedOver = note.handedBack() && note.term() == gained.term() - 1;
            orderedByFormer = note.orderedHosts();
            forecast.restore(note.turnsAt(runtime.clock().now()), seconds());
            runtime.log().log(
                    Event.FLEET_TAKEN_OVER,
                    "term",
                    gained.term(),
                    "note-of-term",
                    note.term(),
                    "handed-back",
                    handedOver,
                    "ordered-lately",
                    orderedByFormer.size());
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /** Returns what the next holder should know when this one hands the duty back. */
    Optional<byte[]> noteForNext() {
        boolean settled = !waves.hasOpenOrders() && !mover.hasOpenOrders();
        return tenure.map(t -> note(t, settled).encode());
    }

    private FleetNote note(Tenure held, boolean handedBack) {
        long now = runtime.clock().nanoTime();
        orderedNanos.values().removeIf(at -> now - at > turn().toNanos());
        return new FleetNote(
                held.term(),
                handedBack,
                orderedNanos.keySet(),
                runtime.clock().now(),
                forecast.memory(seconds()));
    }

    /** Stores what was learned, for the case that this daemon fails. */
    private void storeNote() {
        Tenure held = tenure.orElseThrow();
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(held.key(), held.token())
                        .put(StoreKeys.FLEET_NOTE, note(held, false).encode())
                        .build();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> isConfirmedBy(held, r),
                        f ->
                                runtime.log().log(
                                        Event.STORE_FAILED,
                                        "call",
                                        "note for the next holder",
                                        "cause",
                                        f.getMessage()));
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
        ServiceId pool = new ServiceId(status.getService());
        pools.put(pool, new PoolStatus(status, runtime.clock().nanoTime()));
        if (status.getWorkersList().stream().anyMatch(WorkerStatusMessage::getEvacuating)) {
            toldPools.add(pool);
        }
    }

    void tick() {
        if (tenure.isEmpty()) {
            return;
        }
        double now = seconds();
        boolean learned = false;
        for (Map.Entry<ServiceId, PoolStatus> entry : pools.entrySet()) {
            learned |= observe(entry.getKey(), entry.getValue(), now);
        }
        if (learned) {
            storeNote();
        }
        look();
        if (hosts.isEmpty() || !isTurnOver()) {
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

    /** Returns whether a surge has started. */
    private boolean observe(ServiceId pool, PoolStatus status, double now) {
        if (status.observed) {
            return false;
        }
        status.observed = true;
        double offered = status.message.getOfferedMilliCores() / MILLI;
        int submissions = status.message.getOfferedSubmissions();
        if (!forecast.observe(pool, now, offered, submissions)) {
            return false;
        }
        Optional<TurnForecast.Next> next = forecast.next(now);
        runtime.log().log(
                Event.SURGE_STARTED,
                "pool",
                pool,
                "offered-cores",
                Math.round(offered),
                "submissions",
                submissions,
                "next",
                next.map(n -> n.pool().value()).orElse("unknown"),
                "in-ms",
                next.map(n -> Math.round(n.inSeconds() * MILLI)).orElse(0L));
        return true;
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
                            state(host),
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

    /** A host that the last holder has ordered about lately is left alone for a while. */
    private State state(PooledHost host) {
        boolean resting =
                host.state() == State.UP && orderedByFormer.contains(host.host()) && !isTurnPast();
        return resting ? State.MOVING : host.state();
    }

    // What the owners are asked.

    /** Tells each owner which workers to empty; also those that a former holder wanted emptied. */
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
        toldPools.clear();
        messages.forEach(
                (pool, m) -> {
                    if (m.getWorkersCount() > 0) {
                        toldPools.add(pool);
                    }
                });
    }

    private EvacuationMessage.Builder message(ServiceId pool) {
        return EvacuationMessage.newBuilder().setService(pool.value()).setSequence(++sequence);
    }

    // Orders.

    /** Carries orders out once the store has confirmed that the duty is still held. */
    private void carryOut(List<Runnable> orders) {
        if (orders.isEmpty() || checking) {
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

    /**
     * Returns whether the last holder orders no host about any more. One that has handed the duty
     * back does not; else its lease and the platform's turn must have passed.
     */
    private boolean isTurnOver() {
        return tenure.orElseThrow().term() == 1 || handedOver || isTurnPast();
    }

    private boolean isTurnPast() {
        return runtime.clock().nanoTime() - gainedNanos > turn().toNanos();
    }

    /** Returns the time that must lie between the orders of two holders for one host. */
    private Duration turn() {
        return runtime.limits().orderTurn().plus(FORMER_LEASE);
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
    public Right orderFor(HostId host) {
        orderedNanos.put(host, runtime.clock().nanoTime());
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
