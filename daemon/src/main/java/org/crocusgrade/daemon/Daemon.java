package org.crocusgrade.daemon;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.SlotTimes;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.claim.ClaimRouter;
import org.crocusgrade.daemon.configuration.ConfigExchange;
import org.crocusgrade.daemon.configuration.ConfigWatcher;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.edge.CallerApi;
import org.crocusgrade.daemon.edge.FlowManager;
import org.crocusgrade.daemon.edge.HttpRemoteRuns;
import org.crocusgrade.daemon.edge.KeyedRequests;
import org.crocusgrade.daemon.edge.ServiceFlow;
import org.crocusgrade.daemon.link.SlotMessages;
import org.crocusgrade.daemon.metrics.DaemonMetrics;
import org.crocusgrade.daemon.ops.OperatorApi;
import org.crocusgrade.daemon.owner.RackKeeper;
import org.crocusgrade.daemon.owner.SlotExchange;
import org.crocusgrade.daemon.platform.HttpHostPlatform;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.daemon.settings.Settings;
import org.crocusgrade.daemon.upstream.WorkerClient;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.PeerNode;
import org.crocusgrade.peer.proto.Envelope;

/** One daemon: wires the parts together, starts and stops them. */
public final class Daemon {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONTROL_PERIOD = Duration.ofMillis(50);
    private static final Duration FLOW_PERIOD = Duration.ofMillis(10);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(20);
    private static final int PEER_THREADS = 1;

    private final Settings settings;
    private final Clock clock = Clock.system();
    private final BootId boot =
            new BootId(UUID.randomUUID().toString().replace("-", "").substring(0, 16));
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final AtomicBoolean demandChanged = new AtomicBoolean();
    private final ScheduledExecutorService control = newControl();
    private final Vertx vertx;
    private final io.vertx.mutiny.core.Vertx mutinyVertx;
    private final HttpKeyValueStore store;
    private final HttpHostPlatform hosts;
    private final PeerNode peers;
    private final SlotPool slots;
    private final SlotTable table;
    private final SlotExchange exchange;
    private final WorkerClient workers;
    private final FlowManager flows;
    private final ClaimRouter claims;
    private final KeyedRequests keyed;
    private FleetWatcher fleet;
    private ConfigExchange exchangeConfig;
    private volatile ConfigWatcher configuration;
    private MemberSession session;
    private RackKeeper racks;
    private InetSocketAddress peerAddress;
    private HttpServer callers;
    private HttpServer operators;
    private volatile boolean stopping;

    /** Makes a daemon; {@link #start} starts it. */
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
        peers =
                new PeerNode(
                        settings.daemon(), boot, settings.peerKey(), new Inbox(), PEER_THREADS);
        metrics.showLink(peers::totals);
        slots = new SlotPool(settings.daemon(), boot, settings.zone(), SlotTimes.DEFAULT);
        table = new SlotTable(settings.daemon(), boot, SlotTimes.DEFAULT);
        exchange =
                new SlotExchange(
                        settings.daemon(), slots, table, clock, peers::send, this::slotsChanged);
        workers = new WorkerClient(vertx);
        flows = newFlows();
        claims =
                new ClaimRouter(
                        settings.daemon(),
                        boot,
                        store,
                        clock,
                        control,
                        () -> fleet.snapshot().members().keySet(),
                        peers::send);
        HttpRemoteRuns remote = new HttpRemoteRuns(vertx, clock, () -> fleet.snapshot().members());
        keyed = new KeyedRequests(settings.daemon(), boot, clock, claims, remote);
    }

    private FlowManager newFlows() {
        ServiceFlow.Parts parts =
                new ServiceFlow.Parts(
                        vertx,
                        clock,
                        settings.zone(),
                        slots,
                        workers,
                        metrics,
                        this::demandChanged);
        return new FlowManager(parts, () -> vertx.nettyEventLoopGroup().next());
    }

    /**
     * Starts to listen and joins the others.
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
                        keyed,
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
                        bound(settings.listen().callers(), callers),
                        bound(settings.listen().operators(), operators));
        startControl(record);
        logger.atInfo().log(
                "daemon: %s started, callers on port %d", settings.daemon(), callers.actualPort());
    }

    private void startControl(MemberRecord record) {
        fleet = new FleetWatcher(store, hosts, settings.region(), control);
        session = new MemberSession(store, record, clock, control);
        exchangeConfig =
                new ConfigExchange(
                        settings.daemon(),
                        record.peers(),
                        peers::send,
                        peers::setAddress,
                        this::onConfig,
                        ConfigExchange.FAN_OUT);
        settings.seeds().forEach(peers::setAddress);
        configuration =
                new ConfigWatcher(
                        exchangeConfig,
                        store,
                        settings.daemon(),
                        settings.zone(),
                        settings.seeds(),
                        control,
                        clock);
        racks =
                new RackKeeper(
                        settings.daemon(),
                        boot,
                        settings.region(),
                        store,
                        fleet,
                        session,
                        table,
                        clock,
                        control,
                        () -> configuration.held().fleet());
        fleet.addListener(this::onFleet);
        session.start();
        fleet.start();
        configuration.start();
        long period = CONTROL_PERIOD.toMillis();
        control.scheduleWithFixedDelay(
                () -> guarded(this::tick), period, period, TimeUnit.MILLISECONDS);
        long flowPeriod = FLOW_PERIOD.toMillis();
        control.scheduleWithFixedDelay(
                () -> guarded(flows::tick), flowPeriod, flowPeriod, TimeUnit.MILLISECONDS);
    }

    /** Stops gracefully: goes unready, finishes what it has taken, hands its leases back. */
    public void stop() {
        stopping = true;
        logger.atInfo().log("daemon: %s stopping", settings.daemon());
        pause(settings.bounds().leaveDelay());
        flows.stop();
        long end = clock.nanoTime() + settings.bounds().stopTimeout().toNanos();
        while (flows.isBusy() && clock.nanoTime() - end < 0) {
            pause(DRAIN_PERIOD);
        }
        close();
    }

    /** Stops at once, without waiting for anything. */
    public void close() {
        stopping = true;
        if (session != null) {
            session.leave().subscribe().with(v -> {}, failure -> {});
            fleet.stop();
            configuration.stop();
        }
        if (callers != null) {
            callers.close();
        }
        if (operators != null) {
            operators.close();
        }
        pause(DRAIN_PERIOD);
        control.shutdownNow();
        peers.stop();
        workers.close();
        store.close();
        hosts.close();
        vertx.close();
    }

    /** Returns the address for callers, with the port that was bound. */
    public InetSocketAddress callers() {
        return bound(settings.listen().callers(), callers);
    }

    /** Returns the address for operators, with the port that was bound. */
    public InetSocketAddress operators() {
        return bound(settings.listen().operators(), operators);
    }

    /** Returns the configuration in force. */
    public ConfigBundle config() {
        return configuration.held();
    }

    /** Returns the address for peers, with the port that was bound. */
    public InetSocketAddress peers() {
        return peerAddress;
    }

    private HttpServer listen(InetSocketAddress address, Router router) throws DaemonException {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(address.getAddress().getHostAddress())
                        .setPort(address.getPort())
                        .setMaxHeaderSize(settings.bounds().maxHeaderBytes())
                        .setCompressionSupported(false);
        try {
            return vertx.createHttpServer(options)
                    .requestHandler(router)
                    .listen()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DaemonException("Interrupted while binding " + address, e);
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new DaemonException("The daemon cannot listen on " + address, e);
        }
    }

    private static InetSocketAddress bound(InetSocketAddress wanted, HttpServer server) {
        return new InetSocketAddress(wanted.getAddress(), server.actualPort());
    }

    private void tick() {
        racks.tick();
        metrics.setRacksOwned(racks.owned());
        exchange.tick(flows.wanted());
        claims.tick();
        keyed.tick();
    }

    private void demandChanged() {
        if (demandChanged.compareAndSet(false, true)) {
            control.execute(
                    () -> {
                        demandChanged.set(false);
                        guarded(() -> exchange.tick(flows.wanted()));
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
        exchange.fleetChanged(snapshot);
        configuration.membersChanged(snapshot);
    }

    private void onConfig(ConfigBundle bundle) {
        flows.apply(bundle.fleet(), Math.max(1, fleet.snapshot().members().size()));
        metrics.setConfigVersion(bundle.head().version().value());
        slotsChanged();
    }

    private boolean isReady() {
        return !stopping && !flows.table().get().flows().isEmpty() && configuration.isSettled();
    }

    private JsonObject status() {
        JsonObject services = new JsonObject();
        for (ServiceFlow flow : flows.table().get().flows().values()) {
            services.put(
                    flow.config().service().value(),
                    new JsonObject()
                            .put("queued", flow.queued())
                            .put("running", flow.running())
                            .put("wantedSlots", flow.wantedSlots())
                            .put("heldSlots", slots.held(flow.config().pool())));
        }
        return new JsonObject()
                .put("daemon", settings.daemon().value())
                .put("boot", boot.value())
                .put("zone", settings.zone().value())
                .put("ready", isReady())
                .put("configVersion", configuration.held().head().version().value())
                .put("configPublish", configuration.held().head().publish().value())
                .put("configSettled", configuration.isSettled())
                .put("racksOwned", racks.owned())
                .put("members", fleet.snapshot().members().size())
                .put("services", services);
    }

    private static ScheduledExecutorService newControl() {
        ThreadFactory threads =
                step -> {
                    Thread thread = new Thread(step, "control");
                    thread.setDaemon(true);
                    return thread;
                };
        // Answers that arrive after the daemon was closed have nobody left to take them.
        return new ScheduledThreadPoolExecutor(1, threads, new ThreadPoolExecutor.DiscardPolicy());
    }

    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("control: step failed");
        }
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the messages of the other daemons to the control thread. */
    private final class Inbox implements PeerListener {
        @Override
        public void onMessage(DaemonId from, BootId sender, Envelope message) {
            control.execute(() -> guarded(() -> receive(from, sender, message)));
        }

        @Override
        public void onDrop(FrameDropReason reason) {
            metrics.dropped(reason);
        }

        private void receive(DaemonId from, BootId sender, Envelope message) {
            if (configuration == null) {
                // Not started yet; senders repeat what matters.
                return;
            }
            try {
                switch (message.getBodyCase()) {
                    case SLOT_DEMAND ->
                            exchange.onDemand(
                                    SlotMessages.read(from, sender, message.getSlotDemand()));
                    case SLOT_GRANT ->
                            exchange.onGrant(
                                    SlotMessages.read(from, sender, message.getSlotGrant()));
                    case CLAIM_REQUEST -> claims.onRequest(from, sender, message.getClaimRequest());
                    case CLAIM_REPLY -> claims.onReply(message.getClaimReply());
                    case CONFIG_DIGEST -> exchangeConfig.onDigest(from, message.getConfigDigest());
                    case CONFIG_PULL -> exchangeConfig.onPull(from, message.getConfigPull());
                    case CONFIG_PUSH -> exchangeConfig.onPush(from, message.getConfigPush());
                    default -> metrics.dropped(FrameDropReason.MALFORMED);
                }
            } catch (IllegalArgumentException e) {
                metrics.dropped(FrameDropReason.MALFORMED);
            }
        }
    }
}
