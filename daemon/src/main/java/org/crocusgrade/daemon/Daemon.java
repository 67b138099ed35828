package org.crocusgrade.daemon;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.FleetPolicy;
import org.crocusgrade.core.fleet.SlotLeaseTiming;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.claim.ClaimRouter;
import org.crocusgrade.daemon.concurrent.AdaptiveTimer;
import org.crocusgrade.daemon.concurrent.ControlThread;
import org.crocusgrade.daemon.configuration.ConfigExchange;
import org.crocusgrade.daemon.configuration.ConfigWatcher;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.edge.CallerApi;
import org.crocusgrade.daemon.edge.FlowManager;
import org.crocusgrade.daemon.edge.HttpRemoteRuns;
import org.crocusgrade.daemon.edge.InFlightRequests;
import org.crocusgrade.daemon.edge.KeyedRequests;
import org.crocusgrade.daemon.edge.ServiceFlow;
import org.crocusgrade.daemon.link.CallIds;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.daemon.log.EventLog;
import org.crocusgrade.daemon.metrics.DaemonMetrics;
import org.crocusgrade.daemon.ops.Condition;
import org.crocusgrade.daemon.ops.ConditionMonitor;
import org.crocusgrade.daemon.ops.FlowGauges;
import org.crocusgrade.daemon.ops.OperatorApi;
import org.crocusgrade.daemon.ops.ServicesPage;
import org.crocusgrade.daemon.owner.Ownership;
import org.crocusgrade.daemon.owner.RackManager;
import org.crocusgrade.daemon.owner.SlotExchange;
import org.crocusgrade.daemon.owner.WorkerProber;
import org.crocusgrade.daemon.planner.DemandReporter;
import org.crocusgrade.daemon.planner.MaintenanceRole;
import org.crocusgrade.daemon.planner.PlannerRole;
import org.crocusgrade.daemon.planner.PolicyConverter;
import org.crocusgrade.daemon.platform.HttpHostPlatform;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.daemon.settings.Settings;
import org.crocusgrade.daemon.upstream.WorkerClient;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerNode;

/** One daemon: creates its components, and starts and stops them. */
public final class Daemon {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONDITION_PERIOD = Duration.ofSeconds(1);
    private static final Duration CONTROL_PERIOD = Duration.ofMillis(50);
    private static final Duration IDLE_CONTROL_PERIOD = Duration.ofMillis(200);
    private static final Duration FLOW_PERIOD = Duration.ofMillis(10);
    private static final Duration IDLE_FLOW_PERIOD = Duration.ofMillis(200);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_PERIOD = Duration.ofMillis(20);
    private static final int PEER_THREADS = 1;
    private static final Duration MAINTENANCE_PERIOD = Duration.ofSeconds(2);

    private final Settings settings;
    private final Clock clock = Clock.system();
    private final BootId boot = BootId.random();
    private final CallIds callIds = new CallIds(boot);
    private final EventLog log = new EventLog(clock);
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final ConditionMonitor conditions = new ConditionMonitor(clock, metrics.registry());
    private final AtomicBoolean demandChanged = new AtomicBoolean();
    private final ScheduledExecutorService control = ControlThread.start("control");
    private final ScheduledExecutorService planningExecutor = ControlThread.start("planner");
    private final Vertx vertx;
    private final io.vertx.mutiny.core.Vertx mutinyVertx;
    private final HttpKeyValueStore store;
    private final HttpHostPlatform hosts;
    private final PeerInbox inbox = new PeerInbox(control, metrics::dropped);
    private final PeerNode peers;
    private final SlotPool slots;
    private final SlotTable table;
    private final SlotExchange slotExchange;
    private final WorkerClient workers;
    private final FlowManager flows;
    private final ClaimRouter claims;
    private final KeyedRequests keyedRequests;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final AdaptiveTimer flowTimer;
    private final AdaptiveTimer slotTimer;
    private FleetWatcher fleet;
    private ConfigExchange configExchange;
    private volatile ConfigWatcher configWatcher;
    private MemberSession session;
    private Ownership ownership;
    private WorkerProber prober;
    private RackManager rackManager;
    private PlannerRole planner;
    private MaintenanceRole maintenance;
    private InetSocketAddress peerAddress;
    private HttpPort callers;
    private HttpPort operators;
    private volatile boolean stopping;

    /** Creates a daemon; {@link #start} starts it. */
    public Daemon(Settings settings) {
        this.settings = settings;
        vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(settings.threads())
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1));
        mutinyVertx = io.vertx.mutiny.core.Vertx.newInstance(vertx);
        store = new HttpKeyValueStore(mutinyVertx, settings.platform().service(), STORE_TIMEOUT);
        hosts = new HttpHostPlatform(mutinyVertx, settings.platform().hosts(), STORE_TIMEOUT);
        peers = new PeerNode(settings.daemon(), boot, settings.peerKey(), inbox, PEER_THREADS);
        metrics.registerLinkTotals(peers::totals);
        slots = new SlotPool(settings.daemon(), boot, settings.zone(), SlotLeaseTiming.DEFAULT);
        table = new SlotTable(settings.daemon(), boot, SlotLeaseTiming.DEFAULT);
        slotExchange =
                new SlotExchange(
                        settings.daemon(), slots, table, clock, peers::send, this::slotsChanged);
        workers = new WorkerClient(vertx);
        flows = newFlows();
        claims =
                new ClaimRouter(
                        settings.daemon(),
                        boot,
                        pendingCalls("claim"),
                        store,
                        clock,
                        control,
                        () -> fleet.snapshot().members().keySet(),
                        peers::send);
        HttpRemoteRuns remote = new HttpRemoteRuns(vertx, clock, () -> fleet.snapshot().members());
        flowTimer =
                new AdaptiveTimer(
                        control, FLOW_PERIOD, IDLE_FLOW_PERIOD, flows::isBusy, flows::tick);
        slotTimer =
                new AdaptiveTimer(
                        control, CONTROL_PERIOD, IDLE_CONTROL_PERIOD, this::isActive, this::tick);
        keyedRequests = new KeyedRequests(settings.daemon(), boot, clock, claims, remote);
    }

    private <R> PendingCalls<R> pendingCalls(String kind) {
        return new PendingCalls<>(
                kind,
                callIds,
                (delay, step) -> control.schedule(step, delay.toNanos(), TimeUnit.NANOSECONDS),
                log);
    }

    private FlowManager newFlows() {
        ServiceFlow.Dependencies dependencies =
                new ServiceFlow.Dependencies(
                        clock, settings.zone(), slots, workers, metrics, this::demandChanged);
        return new FlowManager(dependencies, () -> vertx.nettyEventLoopGroup().next());
    }

    /**
     * Starts to listen for callers, operators and peers, and joins the other daemons.
     *
     * @throws DaemonException if an address cannot be bound
     */
    public void start() throws DaemonException {
        try {
            peerAddress = peers.start(settings.listen().peers());
        } catch (PeerException e) {
            throw new DaemonException("The daemon cannot listen for peers.", e);
        }
        CallerApi callerApi =
                new CallerApi(
                        flows.table(),
                        boot,
                        clock,
                        metrics,
                        keyedRequests,
                        inFlight,
                        settings.bounds().maxBodyBytes());
        OperatorApi operatorApi = new OperatorApi(metrics, this::isReady, this::status);
        callers = listen(settings.listen().callers(), callerApi.routes(vertx));
        operators = listen(settings.listen().operators(), operatorApi.routes(vertx));
        MemberRecord record =
                new MemberRecord(
                        settings.daemon(),
                        boot,
                        settings.region(),
                        settings.zone(),
                        peerAddress,
                        callers.address(),
                        operators.address());
        createControlParts(record);
        startControlParts();
        logger.atInfo().log(
                "daemon: %s started, callers on port %d",
                settings.daemon(), callers.address().getPort());
    }

    private void createControlParts(MemberRecord record) {
        fleet = new FleetWatcher(store, hosts, settings.region(), control);
        ownership =
                new Ownership(
                        new DaemonRun(settings.daemon(), boot),
                        settings.region(),
                        store,
                        fleet,
                        slotExchange,
                        table,
                        clock,
                        control,
                        pendingCalls("renewal"),
                        peers::send);
        session =
                new MemberSession(
                        store, record, clock, control, ownership::renew, ownership.authority());
        prober = new WorkerProber(table, slotExchange, workers::running, clock, control);
        createConfigParts(record);
        rackManager =
                new RackManager(
                        settings.daemon(),
                        settings.region(),
                        store,
                        fleet,
                        ownership.authority(),
                        ownership.takeOvers(),
                        table,
                        clock,
                        control,
                        () -> configWatcher.current().fleet());
        planner =
                new PlannerRole(
                        settings.daemon(),
                        boot,
                        settings.region(),
                        store,
                        fleet,
                        session,
                        clock,
                        control,
                        planningExecutor,
                        () -> configWatcher.current().fleet(),
                        () -> PolicyConverter.weights(policy()),
                        peers::send);
        maintenance =
                new MaintenanceRole(
                        settings.region(),
                        store,
                        hosts,
                        fleet,
                        clock,
                        control,
                        () -> configWatcher.current().fleet(),
                        () -> PolicyConverter.rollOut(policy()),
                        planner);
    }

    private void createConfigParts(MemberRecord record) {
        configExchange =
                new ConfigExchange(
                        settings.daemon(),
                        record.peers(),
                        peers::send,
                        peers::setAddress,
                        this::onConfig,
                        ConfigExchange.FAN_OUT);
        settings.seeds().forEach(peers::setAddress);
        configWatcher =
                new ConfigWatcher(
                        configExchange,
                        store,
                        settings.daemon(),
                        settings.zone(),
                        settings.seeds(),
                        control,
                        clock);
    }

    private void startControlParts() {
        fleet.addListener(this::onFleet);
        session.start();
        fleet.start();
        ownership.start();
        configWatcher.start();
        planner.start();
        startConditions();
        openInbox();
        slotTimer.start();
        flowTimer.start();
        ControlThread.every(control, PlanSettings.DEFAULT.tick(), this::tickPlanner);
        ControlThread.every(control, MAINTENANCE_PERIOD, maintenance::tick);
    }

    private void openInbox() {
        slotExchange.register(inbox);
        claims.register(inbox);
        planner.register(inbox);
        configExchange.register(inbox);
        ownership.register(inbox);
        inbox.open();
    }

    private void startConditions() {
        FlowGauges.register(
                metrics.registry(), flows.table()::get, flow -> slots.held(flow.config().pool()));
        conditions
                .check(Condition.NO_LEASE, () -> session.valid().isEmpty())
                .check(Condition.NO_CONFIG, () -> flows.table().get().flows().isEmpty())
                .check(Condition.NOT_SETTLED, () -> !configWatcher.isSettled())
                .check(Condition.STOPPING, () -> stopping)
                .check(
                        Condition.NO_SLOTS,
                        () -> ServicesPage.waitsWithoutSlots(flows.table().get(), slots));
        ControlThread.every(control, CONDITION_PERIOD, conditions::update);
    }

    /**
     * Stops gracefully: reports not ready, completes accepted requests within the stop timeout,
     * releases racks and closes the authority record, then stops as {@link #close} does.
     */
    public void stop() {
        stopping = true;
        logger.atInfo().log("daemon: %s stopping", settings.daemon());
        ControlThread.pause(settings.bounds().leaveDelay());
        inFlight.stop();
        flows.stop();
        long end = clock.nanoTime() + settings.bounds().stopTimeout().toNanos();
        while ((inFlight.isBusy() || flows.isBusy()) && clock.nanoTime() - end < 0) {
            ControlThread.pause(POLL_PERIOD);
        }
        handOverRacks();
        close();
    }

    private void handOverRacks() {
        control.execute(rackManager::leave);
        long end = clock.nanoTime() + HANDOVER_TIMEOUT.toNanos();
        while (rackManager.owned() > 0 && clock.nanoTime() - end < 0) {
            ControlThread.pause(POLL_PERIOD);
        }
        control.execute(ownership.authority()::leave);
        ControlThread.pause(POLL_PERIOD);
    }

    /** Stops without waiting for requests or racks, but revokes the member lease. */
    public void close() {
        stopping = true;
        if (session != null) {
            session.leave().subscribe().with(v -> {}, failure -> {});
        }
        ControlThread.pause(POLL_PERIOD);
        halt();
    }

    /** Stops without notifying the platform or other daemons, as in a crash. */
    public void halt() {
        stopping = true;
        if (session != null) {
            ownership.stop();
            fleet.stop();
            configWatcher.stop();
            planner.stop();
        }
        if (callers != null) {
            callers.close();
        }
        if (operators != null) {
            operators.close();
        }
        control.shutdownNow();
        planningExecutor.shutdownNow();
        peers.stop();
        workers.close();
        store.close();
        hosts.close();
        vertx.close();
    }

    /** Returns the address for callers, with the port that was bound. */
    public InetSocketAddress callers() {
        return callers.address();
    }

    /** Returns the address for operators, with the port that was bound. */
    public InetSocketAddress operators() {
        return operators.address();
    }

    /** Returns the daemon's id. */
    public DaemonId id() {
        return settings.daemon();
    }

    /** Returns the configuration in force. */
    public ConfigBundle config() {
        return configWatcher.current();
    }

    /** Returns the address for peers, with the port that was bound. */
    public InetSocketAddress peers() {
        return peerAddress;
    }

    private HttpPort listen(InetSocketAddress address, Router router) throws DaemonException {
        return HttpPort.listen(vertx, address, router, settings.bounds().maxHeaderBytes());
    }

    private void tick() {
        ownership.tick(session);
        rackManager.tick();
        prober.tick(fleet.snapshot());
        metrics.setRacksOwned(rackManager.owned());
        slotExchange.tick(flows.wantedSlots());
        claims.tick();
        keyedRequests.tick();
    }

    private void tickPlanner() {
        planner.tick(DemandReporter.report(settings.daemon(), slots, flows, fleet.snapshot()));
    }

    private FleetPolicy policy() {
        return configWatcher.current().fleet().policy();
    }

    private boolean isActive() {
        return flows.isBusy() || rackManager.isChanging();
    }

    private void demandChanged() {
        if (demandChanged.compareAndSet(false, true)) {
            control.execute(
                    () -> {
                        demandChanged.set(false);
                        flowTimer.wake();
                        slotTimer.wake();
                        ControlThread.guard(() -> slotExchange.tick(flows.wantedSlots()));
                    });
        }
    }

    private void slotsChanged() {
        flows.slotsChanged(fleet.snapshot());
    }

    private void onFleet(FleetSnapshot snapshot) {
        for (MemberRecord member : snapshot.members().values()) {
            if (!member.daemon().equals(settings.daemon())) {
                peers.setAddress(member.daemon(), member.peers());
            }
        }
        maintenance.observe(snapshot);
        slotExchange.fleetChanged(snapshot);
        slotTimer.wake();
        configWatcher.membersChanged(snapshot);
    }

    private void onConfig(ConfigBundle bundle) {
        flows.apply(bundle.fleet(), Math.max(1, fleet.snapshot().members().size()));
        metrics.setConfigVersion(bundle.head().version().value());
        slotsChanged();
    }

    private boolean isReady() {
        return !stopping && !flows.table().get().flows().isEmpty() && configWatcher.isSettled();
    }

    private JsonObject status() {
        return new StatusPage(
                        settings,
                        boot,
                        flows,
                        slots,
                        configWatcher,
                        fleet,
                        rackManager,
                        planner,
                        maintenance,
                        conditions)
                .json(isReady());
    }
}
