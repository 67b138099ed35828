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
 * Plans moves while this daemon holds the role, and reports demand to whoever does.
 *
 * <p>A plan is made from one snapshot and written by compare-and-swap on the revisions in that
 * snapshot; so a holder that was paused, or two holders at once, cannot undo what was written
 * since. With nobody holding the role the fleet stays as it is. All but the planning itself runs on
 * the control thread.
 */
public final class PlannerRole {
    /** The most recent moves that are kept for operators. */
    static final int MAX_RECENT = 256;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration FRESH = Duration.ofSeconds(3);

    private final DaemonId self;
    private final Region region;
    private final KeyValueStore store;
    private final FleetWatcher fleet;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final ExecutorService thread;
    private final Supplier<FleetConfig> config;
    private final Supplier<PlanWeights> weights;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final RoleHolder role;
    private final DemandAggregator board = new DemandAggregator(FRESH);
    private final Deque<Decided> recent = new ArrayDeque<>();
    private volatile List<Decided> shown = List.of();
    private ViewBuilder views = new ViewBuilder();
    private Planner planner;
    private boolean planning;

    /**
     * Makes a role that is not held yet.
     *
     * @param thread where plans are made
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
            ExecutorService thread,
            Supplier<FleetConfig> config,
            Supplier<PlanWeights> weights,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.region = region;
        this.store = store;
        this.fleet = fleet;
        this.clock = clock;
        this.control = control;
        this.thread = thread;
        this.config = config;
        this.weights = weights;
        this.sender = sender;
        role = new RoleHolder(self, boot, region, store, session, control);
    }

    /** Starts to watch who holds the role. */
    public void start() {
        role.start();
    }

    /** Ends the watch. */
    public void stop() {
        role.stop();
    }

    /** Returns whether this daemon holds the role. */
    public boolean isHeld() {
        return role.isHeld();
    }

    /** Returns the epoch of the last holder known. */
    public Epoch epoch() {
        return role.epoch();
    }

    /** Returns a pool's demand as far as it was reported to this daemon. */
    public Optional<DemandDigest> demand(PoolId pool) {
        return board.digest(pool, fleet.snapshot().members().size(), clock.now());
    }

    /** Returns who holds the role as far as is known. */
    public Optional<DaemonId> holder() {
        return role.holder();
    }

    /** Returns the moves that this daemon decided on lately, the newest first. */
    public List<Decided> recent() {
        return shown;
    }

    /** Registers what this part takes of the other daemons' messages. */
    public void register(PeerInbox inbox) {
        inbox.on(
                BodyCase.DEMAND_REPORT,
                (from, run, m) -> onReport(DemandMessages.read(from, m.getDemandReport())));
    }

    /** Takes another daemon's report. */
    public void onReport(DemandReport report) {
        board.heard(report, clock.now());
    }

    /** Reports this daemon's demand, and plans if it holds the role; once a planner's tick. */
    public void tick(DemandReport report) {
        FleetSnapshot snapshot = fleet.snapshot();
        role.tick(snapshot.members());
        role.holder().ifPresent(holder -> report(holder, report));
        if (!role.isHeld()) {
            planner = null;
            return;
        }
        if (planner == null) {
            planner = new DefaultPlanner(PlanSettings.DEFAULT);
            views = new ViewBuilder();
        }
        if (!planning) {
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
        planning = true;
        board.retain(snapshot.members().keySet());
        FleetView view = views.build(snapshot, config.get(), board, weights.get(), clock.now());
        Planner current = planner;
        thread.execute(
                () -> {
                    Plan plan = planSafely(current, view);
                    control.execute(() -> onPlan(plan, snapshot));
                });
    }

    private static Plan planSafely(Planner planner, FleetView view) {
        try {
            return planner.plan(view);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("planner: no plan could be made");
            return new Plan(view.now(), List.of(), List.of());
        }
    }

    private void onPlan(Plan plan, FleetSnapshot snapshot) {
        planning = false;
        if (!role.isHeld() || plan.moves().isEmpty()) {
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

    /** Returns whether the taking pool's file lets it take workers of the giving pool. */
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
                            written.forEach(this::remember);
                        },
                        failure -> logger.atFine().log("planner: %s", failure.getMessage()));
    }

    private static WorkerRecord withTarget(WorkerRecord worker, PoolId target) {
        return new WorkerRecord(worker.worker(), worker.pool(), target, worker.state());
    }

    private void remember(Plan.Move move) {
        logger.atFine().log(
                "planner: %s goes from %s to %s", move.worker(), move.from(), move.to());
        recent.addFirst(new Decided(clock.now(), move));
        if (recent.size() > MAX_RECENT) {
            recent.removeLast();
        }
        shown = List.copyOf(recent);
    }

    /**
     * A move that was decided on and written.
     *
     * @param at when it was written
     * @param move the move
     */
    public record Decided(Instant at, Plan.Move move) {}
}
