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
import org.crocusgrade.core.fleet.plan.SurgeSequenceForecast;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.Credentials;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * Performs the fleet duty: moves hosts between pools and carries out maintenance waves.
 *
 * <p>The hosts of workers do not check fencing tokens, so successive holders of the duty must be
 * separated in time. A new holder waits until its predecessor's lease has expired and the
 * platform's order spacing has passed, unless the predecessor released the duty with no order open.
 * Before each batch of orders the store must still name this daemon as the holder. An order for a
 * host is sent only after the owner of its pool has reported that the host is empty and will stay
 * empty.
 */
final class FleetController implements FleetAuthority {
    /** Minimum interval between reads of the host list, in milliseconds. */
    private static final long HOST_REFRESH_MILLIS = 500;

    /**
     * Interval at which evacuation requests are repeated to the owners of pools, in milliseconds.
     */
    private static final long EVACUATION_REPEAT_MILLIS = 300;

    /**
     * Maximum age of an owner's report. A new owner starts nothing for longer than this, so that no
     * host on which it starts runs is ordered because of a report of the former owner.
     */
    private static final Duration MAX_STATUS_AGE = Duration.ofMillis(350);

    /**
     * How long after the end of its lease a request of the former holder may still be in transit.
     */
    private static final Duration FORMER_ORDER_DELAY = Duration.ofMillis(500);

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLI = 1000;

    private final BatchRuntime runtime;
    private final DaemonId self;
    private final Consumer<EvacuationMessage> evacuations;
    private final Map<ServiceId, PoolStatus> pools = new HashMap<>();
    private final SurgeSequenceForecast forecast = new SurgeSequenceForecast();
    private final WaveRunner waves;
    private final HostMover mover;
    private Map<HostId, PooledHost> hosts = Map.of();
    private Set<ServiceId> standbyPools = Set.of();
    private Set<HostId> evacuating = Set.of();
    private final Set<ServiceId> notifiedPools = new HashSet<>();
    private final Map<HostId, Long> orderedNanos = new HashMap<>();
    private Optional<DutyOwnership> ownership = Optional.empty();
    private Set<HostId> orderedByFormer = Set.of();
    private boolean handedOver;
    private DutyManager duties;
    private long acquiredNanos;
    private long refreshStartedNanos;
    private long hostsReadNanos;
    private long evacuationsSentNanos;
    private boolean refreshing;
    private boolean checking;
    private long sequence;

    FleetController(BatchRuntime runtime, DaemonId self, Consumer<EvacuationMessage> evacuations) {
        this.runtime = runtime;
        this.self = self;
        this.evacuations = evacuations;
        waves = new WaveRunner(runtime, this);
        mover = new HostMover(runtime, this, new PoolBalancer(forecast));
    }

    void start(DutyOwnership acquired, DutyManager manager) {
        ownership = Optional.of(acquired);
        duties = manager;
        acquiredNanos = runtime.clock().nanoTime();
        hosts = Map.of();
        orderedNanos.clear();
        restoreState(acquired, manager.entries().get(StoreKeys.FLEET_DUTY_STATE));
        waves.restore(manager.entries());
        mover.reset();
    }

    /** Restores the state that the former holder has stored, if there is any. */
    private void restoreState(DutyOwnership acquired, StoreEntry entry) {
        handedOver = false;
        orderedByFormer = Set.of();
        if (entry == null) {
            return;
        }
        try {
            FleetDutyState state = FleetDutyState.decode(entry.value());
            handedOver = state.handedBack() && state.term() == acquired.term() - 1;
            orderedByFormer = state.orderedHosts();
            forecast.restore(state.surgesAt(runtime.clock().now()), seconds());
            runtime.log().log(
                    Event.FLEET_TAKEN_OVER,
                    "term",
                    acquired.term(),
                    "note-of-term",
                    state.term(),
                    "handed-back",
                    handedOver,
                    "ordered-lately",
                    orderedByFormer.size());
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /** Returns the state for the next holder, when this one releases the duty. */
    Optional<byte[]> stateForSuccessor() {
        boolean noOpenOrders = !waves.hasOpenOrders() && !mover.hasOpenOrders();
        return ownership.map(t -> dutyState(t, noOpenOrders).encode());
    }

    private FleetDutyState dutyState(DutyOwnership held, boolean handedBack) {
        long now = runtime.clock().nanoTime();
        orderedNanos.values().removeIf(at -> now - at > orderSpacing().toNanos());
        return new FleetDutyState(
                held.term(),
                handedBack,
                orderedNanos.keySet(),
                runtime.clock().now(),
                forecast.snapshot(seconds()));
    }

    /**
     * Stores the current state of the duty, so that the next holder has it if this daemon fails.
     */
    private void storeState() {
        DutyOwnership held = ownership.orElseThrow();
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(held.key(), held.token())
                        .put(StoreKeys.FLEET_DUTY_STATE, dutyState(held, false).encode())
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
                                        "store fleet duty state",
                                        "cause",
                                        f.getMessage()));
    }

    void stop() {
        ownership = Optional.empty();
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
            notifiedPools.add(pool);
        }
    }

    void tick() {
        if (ownership.isEmpty()) {
            return;
        }
        double now = seconds();
        boolean surgeStarted = false;
        for (Map.Entry<ServiceId, PoolStatus> entry : pools.entrySet()) {
            surgeStarted |= observe(entry.getKey(), entry.getValue(), now);
        }
        if (surgeStarted) {
            storeState();
        }
        refreshHosts();
        if (hosts.isEmpty() || !mayOrder()) {
            return;
        }
        Map<HostId, HostView> views = views();
        Map<ServiceId, Long> pressure = new HashMap<>();
        pools.forEach((pool, s) -> pressure.put(pool, s.message.getWaitingMilliCores()));
        Set<HostId> evacuate = new HashSet<>();
        List<Runnable> orders = new ArrayList<>();
        waves.decide(views, hostsReadNanos, pressure, evacuate, orders);
        mover.decide(now, views, needs(), evacuate, orders);
        sendEvacuations(evacuate);
        executeOrders(orders);
    }

    /** Passes a report to the forecast once; returns whether a surge has started. */
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
        Optional<SurgeSequenceForecast.Next> next = forecast.next(now);
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
        return runtime.clock().nanoTime() - status.receivedNanos <= MAX_STATUS_AGE.toNanos();
    }

    private double seconds() {
        return runtime.clock().nanoTime() / NANOS_PER_SECOND;
    }

    // Host list.

    private void refreshHosts() {
        long now = runtime.clock().nanoTime();
        if (refreshing || now - refreshStartedNanos < HOST_REFRESH_MILLIS * NANOS_PER_MILLI) {
            return;
        }
        refreshing = true;
        refreshStartedNanos = now;
        runtime.hosts()
                .hosts()
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        found -> {
                            refreshing = false;
                            Map<HostId, PooledHost> byName = new HashMap<>();
                            found.forEach(h -> byName.put(h.host(), h));
                            hosts = byName;
                            hostsReadNanos = now;
                        },
                        f -> {
                            refreshing = false;
                            runtime.log().log(
                                    Event.DEPENDENCY_LOST,
                                    "dependency",
                                    "hosts",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private Map<HostId, HostView> views() {
        Map<WorkerId, WorkerStatusMessage> workerStatuses = new HashMap<>();
        for (PoolStatus status : pools.values()) {
            if (isFresh(status)) {
                status.message
                        .getWorkersList()
                        .forEach(w -> workerStatuses.put(new WorkerId(w.getWorker()), w));
            }
        }
        Map<HostId, HostView> views = new HashMap<>();
        for (PooledHost host : hosts.values()) {
            Optional<WorkerStatusMessage> worker = host.worker().map(workerStatuses::get);
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

    /**
     * Returns the state of a host. One that the former holder has ordered recently counts as moving
     * until the order spacing has passed, so that it gets no new order.
     */
    private State state(PooledHost host) {
        boolean recentlyOrdered =
                host.state() == State.UP
                        && orderedByFormer.contains(host.host())
                        && !isOrderSpacingOver();
        return recentlyOrdered ? State.MOVING : host.state();
    }

    // Evacuation requests.

    /**
     * Sends each owner the workers to evacuate. Owners that have been sent workers before, or that
     * report evacuating ones, get a message even if it is empty, which ends evacuations that only a
     * former holder requested.
     */
    private void sendEvacuations(Set<HostId> wanted) {
        long now = runtime.clock().nanoTime();
        boolean due = now - evacuationsSentNanos >= EVACUATION_REPEAT_MILLIS * NANOS_PER_MILLI;
        if (wanted.equals(evacuating) && (!due || wanted.isEmpty() && notifiedPools.isEmpty())) {
            return;
        }
        evacuating = Set.copyOf(wanted);
        evacuationsSentNanos = now;
        Map<ServiceId, EvacuationMessage.Builder> messages = new HashMap<>();
        for (ServiceId pool : notifiedPools) {
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
        notifiedPools.clear();
        messages.forEach(
                (pool, m) -> {
                    if (m.getWorkersCount() > 0) {
                        notifiedPools.add(pool);
                    }
                });
    }

    private EvacuationMessage.Builder message(ServiceId pool) {
        return EvacuationMessage.newBuilder().setService(pool.value()).setSequence(++sequence);
    }

    // Orders.

    /** Sends orders once the store has confirmed that the duty is still held. */
    private void executeOrders(List<Runnable> orders) {
        if (orders.isEmpty() || checking) {
            return;
        }
        DutyOwnership held = ownership.orElseThrow();
        checking = true;
        runtime.store()
                .get(held.key())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> {
                            checking = false;
                            boolean stillHeld = e.isPresent() && e.get().revision() == held.token();
                            if (stillHeld && ownership.equals(Optional.of(held))) {
                                orders.forEach(runtime::guard);
                            } else if (!stillHeld) {
                                duties.relinquish(held.duty(), "store shows another holder");
                            }
                        },
                        f -> {
                            checking = false;
                            runtime.log().log(
                                    Event.STORE_FAILED,
                                    "call",
                                    "check duty",
                                    "cause",
                                    f.getMessage());
                        });
    }

    /**
     * Returns whether the former holder sends no more orders to hosts: there was none, it released
     * the duty with no order open, or its lease has expired and the platform's order spacing has
     * passed.
     */
    private boolean mayOrder() {
        return ownership.orElseThrow().term() == 1 || handedOver || isOrderSpacingOver();
    }

    private boolean isOrderSpacingOver() {
        return runtime.clock().nanoTime() - acquiredNanos > orderSpacing().toNanos();
    }

    /** Returns the time that must lie between the orders of two holders for one host. */
    private Duration orderSpacing() {
        return runtime.limits().orderSpacing().plus(FORMER_ORDER_DELAY);
    }

    @Override
    public Optional<DutyOwnership> ownership() {
        return ownership;
    }

    @Override
    public void refreshHostsSoon() {
        refreshStartedNanos = 0;
    }

    @Override
    public Credentials authorizeOrder(HostId host) {
        orderedNanos.put(host, runtime.clock().nanoTime());
        return new Credentials(self.value(), ownership.orElseThrow().token());
    }

    @Override
    public boolean isConfirmedBy(DutyOwnership held, CommitResult result) {
        if (!result.applied()) {
            duties.relinquish(held.duty(), "store shows another holder");
        }
        return result.applied();
    }

    /** The latest report of a pool's owner. */
    private static final class PoolStatus {
        private final PoolStatusMessage message;
        private final long receivedNanos;
        private boolean observed;

        PoolStatus(PoolStatusMessage message, long receivedNanos) {
            this.message = message;
            this.receivedNanos = receivedNanos;
        }
    }
}
