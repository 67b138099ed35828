package org.crocusgrade.daemon.planner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.plan.DefaultPlanner;
import org.crocusgrade.core.fleet.plan.DemandAggregator;
import org.crocusgrade.core.fleet.plan.DemandDigest;
import org.crocusgrade.core.fleet.plan.DemandReport;
import org.crocusgrade.core.fleet.plan.FleetView;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.fleet.plan.Planner;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetSnapshot.VersionedRack;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.link.DemandMessages;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Plans moves while this daemon holds the planner role, and reports demand to the holder.
 *
 * <p>A plan is computed from one snapshot and written by compare-and-swap on the revisions in that
 * snapshot, so a holder that was paused, or two concurrent holders, cannot overwrite later changes.
 * Without a holder the fleet stays as it is. Everything but the computation of the plan runs on the
 * control thread.
 */
public final class PlannerRole {
    /** Number of recent moves kept for the status page. */
    static final int MAX_RECENT = 256;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(3);

    private final DaemonId self;
    private final Region region;
    private final KeyValueStore store;
    private final FleetWatcher fleet;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final ExecutorService planningExecutor;
    private final Supplier<FleetConfig> config;
    private final Supplier<PlanWeights> weights;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final RoleElection election;
    private final DemandAggregator aggregator = new DemandAggregator(MAX_REPORT_AGE);
    private final Deque<DecidedMove> recent = new ArrayDeque<>();
    private volatile List<DecidedMove> publishedRecent = List.of();
    private FleetViewBuilder viewBuilder = new FleetViewBuilder();
    private Planner planner;
    private boolean planInProgress;

    /**
     * Creates a role that is not held yet.
     *
     * @param planningExecutor computes the plans
     * @param sender sends a message to another daemon
     */
    public PlannerRole(
            DaemonId self,
            BootId boot,
            Region region,
            KeyValueStore store,
            FleetWatcher fleet,
            MemberSession session,
            Clock clock,
            ScheduledExecutorService control,
            ExecutorService planningExecutor,
            Supplier<FleetConfig> config,
            Supplier<PlanWeights> weights,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.region = region;
        this.store = store;
        this.fleet = fleet;
        this.clock = clock;
        this.control = control;
        this.planningExecutor = planningExecutor;
        this.config = config;
        this.weights = weights;
        this.sender = sender;
        election = new RoleElection(self, boot, region, store, session, control);
    }

    /** Starts to watch the role's record. */
    public void start() {
        election.start();
    }

    /** Stops watching the role's record. */
    public void stop() {
        election.stop();
    }

    /** Returns whether this process holds the role and its member lease has not expired. */
    public boolean isHeld() {
        return election.isHeld();
    }

    /** Returns the epoch of the latest role record read. */
    public Epoch epoch() {
        return election.epoch();
    }

    /** Returns the demand of a pool from the reports that this daemon has received. */
    public Optional<DemandDigest> demand(PoolId pool) {
        return aggregator.digest(pool, fleet.snapshot().members().size(), clock.now());
    }

    /** Returns the holder of the role as of the latest record read. */
    public Optional<DaemonId> holder() {
        return election.holder();
    }

    /**
     * Returns the moves that this daemon decided and wrote recently, newest first; from any thread.
     */
    public List<DecidedMove> recent() {
        return publishedRecent;
    }

    /** Registers the handler for the demand reports of other daemons. */
    public void register(PeerInbox inbox) {
        inbox.on(
                BodyCase.DEMAND_REPORT,
                (from, boot, m) -> onReport(DemandMessages.read(from, m.getDemandReport())));
    }

    /** Handles a demand report of another daemon. */
    public void onReport(DemandReport report) {
        aggregator.accept(report, clock.now());
    }

    /**
     * Reports this daemon's demand to the holder, and plans if this daemon holds the role; called
     * once per planner tick.
     */
    public void tick(DemandReport report) {
        FleetSnapshot snapshot = fleet.snapshot();
        election.tick(snapshot.members());
        election.holder().ifPresent(holder -> report(holder, report));
        if (!election.isHeld()) {
            planner = null;
            return;
        }
        if (planner == null) {
            planner = new DefaultPlanner(PlanSettings.DEFAULT);
            viewBuilder = new FleetViewBuilder();
        }
        if (!planInProgress) {
            plan(snapshot);
        }
    }

    private void report(DaemonId holder, DemandReport report) {
        if (holder.equals(self)) {
            onReport(report);
        } else {
            sender.accept(holder, DemandMessages.write(report));
        }
    }

    private void plan(FleetSnapshot snapshot) {
        planInProgress = true;
        aggregator.retain(snapshot.members().keySet());
        FleetView view =
                viewBuilder.build(snapshot, config.get(), aggregator, weights.get(), clock.now());
        Planner current = planner;
        planningExecutor.execute(
                () -> {
                    Plan plan = planSafely(current, view);
                    control.execute(() -> onPlan(plan, snapshot));
                });
    }

    private static Plan planSafely(Planner planner, FleetView view) {
        try {
            return planner.plan(view);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("planner: failed to compute a plan");
            return new Plan(view.now(), List.of(), List.of());
        }
    }

    private void onPlan(Plan plan, FleetSnapshot snapshot) {
        planInProgress = false;
        if (!election.isHeld() || plan.moves().isEmpty()) {
            return;
        }
        Map<WorkerId, Plan.Move> moves = new HashMap<>();
        plan.moves().stream()
                .filter(this::isAllowed)
                .forEach(move -> moves.put(move.worker(), move));
        for (VersionedRack rack : snapshot.racks().values()) {
            write(rack, moves);
        }
    }

    /**
     * Returns whether the configuration of the receiving pool allows it to borrow workers of the
     * other pool.
     */
    private boolean isAllowed(Plan.Move move) {
        for (ServiceConfig service : config.get().services().values()) {
            if (service.pool().equals(move.to())) {
                return service.capacity().mayBorrowFrom(move.from());
            }
        }
        return true;
    }

    private void write(VersionedRack rack, Map<WorkerId, Plan.Move> moves) {
        List<WorkerRecord> next = new ArrayList<>();
        List<Plan.Move> written = new ArrayList<>();
        RackRecord record = rack.record();
        for (WorkerRecord worker : record.workers()) {
            Plan.Move move = moves.get(worker.worker());
            if (move == null) {
                next.add(worker);
                continue;
            }
            written.add(move);
            next.add(withTarget(worker, move.to()));
        }
        if (written.isEmpty()) {
            return;
        }
        RackRecord changed =
                new RackRecord(
                        record.rack(),
                        record.zone(),
                        record.owner(),
                        record.ownerBoot(),
                        record.epoch(),
                        next);
        String key = FleetWatcher.rackPrefix(region) + record.rack().value();
        store.compareAndSet(key, rack.revision(), RackCodec.encode(changed), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        revision -> {
                            fleet.written(changed, revision);
                            written.forEach(this::recordMove);
                        },
                        failure ->
                                logger.atFine().log(
                                        "planner: cannot write rack record: %s",
                                        failure.getMessage()));
    }

    private static WorkerRecord withTarget(WorkerRecord worker, PoolId target) {
        return new WorkerRecord(worker.worker(), worker.pool(), target, worker.state());
    }

    private void recordMove(Plan.Move move) {
        logger.atFine().log(
                "planner: worker %s moves from pool %s to pool %s",
                move.worker(), move.from(), move.to());
        recent.addFirst(new DecidedMove(clock.now(), move));
        if (recent.size() > MAX_RECENT) {
            recent.removeLast();
        }
        publishedRecent = List.copyOf(recent);
    }

    /**
     * A move that was decided and written.
     *
     * @param at when the write was confirmed
     * @param move the move
     */
    public record DecidedMove(Instant at, Plan.Move move) {}
}
