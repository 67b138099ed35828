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
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.fleet.plan.PoolBalancer;
import org.crocusgrade.core.fleet.plan.PoolNeed;
import org.crocusgrade.core.fleet.plan.SurgeSequenceForecast;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.HostControl.Credentials;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.schedule.ArrivalMeter;
import org.crocusgrade.daemon.batch.FleetDutyState.HostOrder;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * Performs the fleet duty: moves hosts between pools and carries out maintenance waves.
 *
 * <p>The hosts of workers do not check fencing tokens, so successive holders of the duty must be
 * separated in time, for each host. A holder sends orders only after it has recorded them ({@link
 * FleetDutyRecord}), in a transaction that requires that the store still names it as the holder; a
 * new holder leaves the hosts that the record names alone until the platform's order spacing has
 * passed. They take tasks again as soon as the order is over ({@link FormerOrders}). An order for a
 * host is sent only after the owner of its pool has reported that the host is empty and will stay
 * empty.
 */
final class FleetController implements FleetAuthority {
    /** Minimum interval between reads of the host list, in milliseconds. */
    private static final long HOST_REFRESH_MILLIS = 500;

    /**
     * How long after the end of its lease a request of the former holder may still be in transit.
     */
    private static final Duration FORMER_ORDER_DELAY = Duration.ofMillis(500);

    /**
     * Maximum age of the store's confirmation of the duty when orders are sent. A successor sends
     * an order for the same host no sooner than the order spacing and {@link #FORMER_ORDER_DELAY}
     * after it has acquired the duty.
     */
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(400);

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLI = 1000;

    private final BatchRuntime runtime;
    private final DaemonId self;
    private final EvacuationRequests evacuations;
    private final CapGrants caps;
    private final PoolReports reports;
    private final SurgeSequenceForecast forecast = new SurgeSequenceForecast();
    private final WaveRunner waves;
    private final HostMover mover;
    private Map<HostId, PooledHost> hosts = Map.of();
    private Set<ServiceId> standbyPools = Set.of();
    private final Map<HostId, SentOrder> ordered = new HashMap<>();
    private Optional<DutyOwnership> ownership = Optional.empty();
    private final FleetDutyRecord record;
    private final FormerOrders formerOrders;
    private boolean restored;
    private boolean stateChanged;
    private DutyManager duties;
    private long acquiredNanos;
    private long refreshStartedNanos;
    private long hostsReadNanos;
    private boolean refreshing;

    FleetController(
            BatchRuntime runtime,
            DaemonId self,
            Consumer<EvacuationMessage> evacuations,
            Consumer<CapGrantMessage> grants) {
        this.runtime = runtime;
        this.self = self;
        this.evacuations = new EvacuationRequests(runtime.clock(), evacuations);
        caps = new CapGrants(runtime.clock(), runtime.log(), grants);
        reports = new PoolReports(runtime.clock(), runtime.log());
        record = new FleetDutyRecord(runtime);
        formerOrders = new FormerOrders(orderSpacing());
        waves = new WaveRunner(runtime, this);
        mover = new HostMover(runtime, this, new PoolBalancer(forecast));
    }

    void start(DutyOwnership acquired, DutyManager manager) {
        ownership = Optional.of(acquired);
        duties = manager;
        acquiredNanos = runtime.clock().nanoTime();
        hosts = Map.of();
        ordered.clear();
        evacuations.reset(acquired.token());
        caps.start(acquired.token());
        waves.restore(manager.entries());
        mover.reset();
        formerOrders.clear();
        restored = false;
        stateChanged = false;
        record.load(
                () -> ownership.equals(Optional.of(acquired)),
                state -> {
                    state.ifPresent(s -> restoreState(acquired, s));
                    restored = true;
                });
    }

    /** Restores the state that the former holder has stored. */
    private void restoreState(DutyOwnership acquired, FleetDutyState state) {
        boolean mayBeOpen = !(state.handedBack() && state.term() == acquired.term() - 1);
        formerOrders.restore(state, mayBeOpen, acquiredNanos);
        mover.restore(formerOrders.moves());
        forecast.restore(state.surgesAt(runtime.clock().now()), seconds());
        runtime.log().log(
                Event.FLEET_TAKEN_OVER,
                "term",
                acquired.term(),
                "note-of-term",
                state.term(),
                "orders-open",
                mayBeOpen,
                "ordered-lately",
                state.orders().size());
    }

    /** Returns the state for the next holder, when this one releases the duty. */
    Optional<byte[]> stateForSuccessor() {
        boolean noOpenOrders = !waves.hasOpenOrders() && !mover.hasOpenOrders();
        return ownership
                .filter(t -> restored)
                .map(t -> dutyState(t, noOpenOrders, List.of()).encode());
    }

    /**
     * Returns the state to store.
     *
     * @param next the orders that are about to be sent
     */
    private FleetDutyState dutyState(
            DutyOwnership held, boolean handedBack, List<FleetAction> next) {
        long now = runtime.clock().nanoTime();
        ordered.values().removeIf(o -> now - o.nanos > orderSpacing().toNanos());
        Map<HostId, HostOrder> orders = formerOrders.recorded(now);
        ordered.forEach(
                (host, order) -> orders.put(host, new HostOrder(order.to, age(host, order, now))));
        next.forEach(
                o -> o.host().ifPresent(h -> orders.put(h, new HostOrder(o.to(), Duration.ZERO))));
        return new FleetDutyState(
                held.term(),
                handedBack,
                orders,
                runtime.clock().now(),
                forecast.snapshot(seconds()));
    }

    /** Returns the age of an order; zero if it has no answer, as it may still be on its way. */
    private Duration age(HostId host, SentOrder order, long now) {
        boolean isOpen = waves.isOrderOpen(host) || mover.isOrderOpen(host);
        return isOpen ? Duration.ZERO : Duration.ofNanos(now - order.nanos);
    }

    void stop() {
        ownership = Optional.empty();
        caps.stop();
    }

    void setStandbyPools(Set<ServiceId> pools) {
        standbyPools = pools;
    }

    void setCaps(QueueTable table) {
        caps.configure(table);
    }

    void onOperatorEntries(Map<String, StoreEntry> entries) {
        waves.onOperatorEntries(entries, duties == null ? Map.of() : duties.entries());
    }

    /** Processes a report of a pool's owner. */
    void onPoolStatus(PoolStatusMessage report) {
        Duty duty = Duty.pool(new ServiceId(report.getService()));
        if (reports.onReport(report, duties == null ? 0 : duties.token(duty))) {
            evacuations.onReport(report);
            if (ownership.isPresent() && duties.knowsHoldersSince(ownership.get())) {
                caps.onReport(report);
            }
        }
    }

    void tick() {
        reports.tick();
        if (ownership.isEmpty()) {
            return;
        }
        caps.tick();
        double now = seconds();
        for (PoolStatusMessage report : reports.takeNew()) {
            stateChanged |= observe(report, now);
        }
        refreshHosts();
        if (hosts.isEmpty() || !restored) {
            return;
        }
        mover.drop(formerOrders.removeExpired(runtime.clock().nanoTime()));
        Map<HostId, HostView> views = views();
        Map<ServiceId, Long> pressure = new HashMap<>();
        for (PoolStatusMessage report : reports.all()) {
            pressure.put(new ServiceId(report.getService()), report.getWaitingMilliCores());
        }
        Set<HostId> evacuate = new HashSet<>();
        List<FleetAction> orders = new ArrayList<>();
        Set<HostId> open = formerOrders.open();
        waves.decide(views, hostsReadNanos, open, pressure, evacuate, orders);
        mover.decide(now, views, needs(), standbyPools, evacuate, orders);
        evacuate.addAll(open);
        evacuations.send(evacuate, hosts);
        executeOrders(orders);
    }

    /** Passes a report to the forecast; returns whether a surge has started. */
    private boolean observe(PoolStatusMessage report, double now) {
        ServiceId pool = new ServiceId(report.getService());
        double offered = report.getOfferedMilliCores() / MILLI;
        int submissions = report.getOfferedSubmissions();
        if (!forecast.observe(pool, now, offered, submissions, covered(report))) {
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

    /** Returns the part of the window that the offered work of a report covers. */
    private static double covered(PoolStatusMessage report) {
        int millis = report.getOfferedCoversMs();
        return millis == 0 ? 1 : millis / (double) ArrivalMeter.WINDOW.toMillis();
    }

    private Map<ServiceId, PoolNeed> needs() {
        Map<ServiceId, PoolNeed> needs = new HashMap<>();
        double coresPerMb = coresPerMb();
        for (PoolStatusMessage report : reports.recent()) {
            ServiceId pool = new ServiceId(report.getService());
            needs.put(
                    pool,
                    new PoolNeed(
                            pool,
                            report.getLongRunningMilliCores() / MILLI,
                            report.getBatchMilliCores() / MILLI,
                            report.getWaitingMilliCores() / MILLI,
                            report.getBacklogCoreMillis() / MILLI,
                            report.getLongRunningMemoryMb() * coresPerMb,
                            report.getBatchMemoryMb() * coresPerMb,
                            report.getLackingHosts()));
        }
        return needs;
    }

    /** Returns the ratio of processors to memory of all hosts, or 0 if their memory is unknown. */
    private double coresPerMb() {
        double milliCores = 0;
        double memoryMb = 0;
        for (PooledHost host : hosts.values()) {
            milliCores += host.capacity().milliCores();
            memoryMb += host.capacity().memoryMb();
        }
        return memoryMb > 0 ? milliCores / MILLI / memoryMb : 0;
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
                            if (now - acquiredNanos >= 0) {
                                formerOrders.onHosts(found);
                            }
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
        Map<WorkerId, PoolStatusMessage> sources = new HashMap<>();
        for (PoolStatusMessage report : reports.recent()) {
            for (WorkerStatusMessage worker : report.getWorkersList()) {
                WorkerId id = new WorkerId(worker.getWorker());
                workerStatuses.put(id, worker);
                sources.put(id, report);
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
                            worker.map(WorkerStatusMessage::getEvacuating).orElse(false)
                                    && evacuations.isReflectedBy(
                                            sources.get(host.worker().get()), host.host()),
                            worker.map(WorkerStatusMessage::getRunning).orElse(0),
                            worker.map(WorkerStatusMessage::getLongRunning).orElse(0),
                            mayOrder(host.host())));
        }
        return views;
    }

    /** Returns the state of a host; one that the former holder may be moving counts as moving. */
    private State state(PooledHost host) {
        boolean mayMove = formerOrders.isOpen(host.host());
        return mayMove && host.state() == State.UP ? State.MOVING : host.state();
    }

    private boolean mayOrder(HostId host) {
        return formerOrders.mayOrder(host, runtime.clock().nanoTime());
    }

    // Orders.

    /**
     * Sends orders once the store has recorded them and so has confirmed that the duty is still
     * held.
     */
    private void executeOrders(List<FleetAction> orders) {
        if (orders.isEmpty() && !stateChanged || record.isWriting()) {
            return;
        }
        DutyOwnership held = ownership.orElseThrow();
        ClockReading requested = ClockReading.of(runtime.clock());
        stateChanged = false;
        record.write(
                held,
                dutyState(held, false, orders),
                () -> {
                    if (ownership.equals(Optional.of(held))) {
                        executeConfirmed(orders, requested);
                    }
                },
                () -> relinquish(held));
    }

    /**
     * Sends orders, unless the confirmation of the duty is outdated because this process was paused
     * meanwhile. Orders that are left out are decided anew by the next tick.
     */
    private void executeConfirmed(List<FleetAction> orders, ClockReading requested) {
        if (!requested.isWithin(MAX_CONFIRMATION_AGE, runtime.clock())) {
            runtime.log().log(
                    Event.ORDERS_DROPPED,
                    "orders",
                    orders.size(),
                    "confirmation-age-ms",
                    requested.age(runtime.clock()).toMillis());
            return;
        }
        Map<HostId, HostView> views = views();
        for (FleetAction order : orders) {
            if (order.isAllowed(views)) {
                runtime.guard(order.step());
            }
        }
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
    public Credentials authorizeOrder(HostId host, Optional<ServiceId> to) {
        ordered.put(host, new SentOrder(to, runtime.clock().nanoTime()));
        return new Credentials(self.value(), ownership.orElseThrow().token());
    }

    @Override
    public boolean isConfirmedBy(DutyOwnership held, CommitResult result) {
        if (!result.applied()) {
            relinquish(held);
        }
        return result.applied();
    }

    /**
     * Ends an ownership that the store no longer shows. The answer may come when this daemon has
     * acquired the duty again, which it then keeps.
     */
    private void relinquish(DutyOwnership lost) {
        if (ownership.equals(Optional.of(lost))) {
            duties.relinquish(lost.duty(), "store shows another holder");
        }
    }

    /** An order that was sent: to move a host to a pool, or to maintain it. */
    private record SentOrder(Optional<ServiceId> to, long nanos) {}
}
