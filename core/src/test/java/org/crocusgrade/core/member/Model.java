package org.crocusgrade.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;

/**
 * Model of the ownership protocol: three daemons, a rack of two hosts, the platform's service and
 * time. As the worst case, a daemon grants slots of a host at every moment at which it may.
 */
final class Model {
    private static final OwnershipTimeouts TIMEOUTS =
            new OwnershipTimeouts(
                    Duration.ofMillis(900), Duration.ofMillis(1900), Duration.ofMillis(910));

    private final ModelRules rules;
    private final int maxFaults;
    private final Set<Event> events;
    private final Predicate<String> scope;
    private List<ModelState> successors;

    /** Kinds of steps that a search may include besides renewals and take-overs. */
    enum Event {
        MOVES,
        RESTARTS,
        PAUSES,
        LOST_ANSWERS,
        WITNESS_CHANGES,
        STOPS,
        RACING_TAKERS
    }

    Model(ModelRules rules, int maxFaults, Set<Event> events, Predicate<String> scope) {
        this.rules = rules;
        this.maxFaults = maxFaults;
        this.events = events;
        this.scope = scope;
    }

    /** Returns the state in which daemon 0 owns the rack and all daemons have just renewed. */
    ModelState start() {
        ModelState state = new ModelState();
        List<DaemonRun> runs = new ArrayList<>();
        for (int i = 0; i < ModelState.DAEMONS; i++) {
            runs.add(run(i, 1));
        }
        List<WorkerRecord> workers = new ArrayList<>();
        for (int i = 0; i < ModelState.HOSTS; i++) {
            PoolId pool = new PoolId("a");
            workers.add(new WorkerRecord(new WorkerId("h" + i), pool, pool, WorkerState.SERVING));
        }
        RackRecord free =
                new RackRecord(
                        new RackId("r"),
                        new AvailabilityZone("z"),
                        Optional.empty(),
                        Optional.empty(),
                        Epoch.NONE,
                        workers);
        state.rack = RackTransitions.taken(free, runs.get(0));
        state.rackRevision = 1;
        for (int i = 0; i < ModelState.DAEMONS; i++) {
            List<DaemonRun> others = new ArrayList<>(runs);
            others.remove(i);
            AuthorityRecord record =
                    new AuthorityRecord(
                            runs.get(i),
                            1,
                            AuthorityRecord.State.OPEN,
                            WitnessSet.of(runs.get(i), others));
            state.records[i] = record;
            state.recordRevisions[i] = 1;
            state.leaseEnds[i] = ModelRules.TICK;
            Authority authority =
                    Authority.none(runs.get(i), TIMEOUTS).onLease(0).onWrite(record).onWritten();
            state.nodes[i] = node(runs.get(i), authority).view(state.rack, 1);
        }
        grantAll(state);
        return state;
    }

    private static DaemonRun run(int daemon, int boot) {
        return new DaemonRun(new DaemonId("d" + daemon), new BootId("b" + boot));
    }

    private static ModelState.Node node(DaemonRun run, Authority authority) {
        return new ModelState.Node(
                run,
                authority,
                Witness.fresh(TIMEOUTS),
                null,
                null,
                0,
                0,
                false,
                0,
                List.of(-9 * ModelRules.TICK, -9 * ModelRules.TICK),
                -1,
                0);
    }

    /** Returns the states that follow from a state by one step. */
    List<ModelState> steps(ModelState state) {
        successors = new ArrayList<>();
        step(state, "tick", false, next -> tick(next, false));
        step(state, "tick+", false, next -> tick(next, true));
        for (int d = 0; d < ModelState.DAEMONS; d++) {
            faultSteps(state, d);
            if (!state.nodes[d].isPaused()) {
                messageSteps(state, d);
                if (state.reaches(d)) {
                    leaseSteps(state, d);
                    takeOverSteps(state, d);
                    rackSteps(state, d);
                }
            }
        }
        if (events.contains(Event.MOVES)) {
            planSteps(state);
        }
        return successors;
    }

    /**
     * Returns the violated property, if any: slots of one host are leased by two daemons, or for
     * two pools, at the same time.
     */
    Optional<String> breach(ModelState state) {
        for (ModelState.SlotLease a : state.slotLeases) {
            for (ModelState.SlotLease b : state.slotLeases) {
                if (a.host() != b.host() || a.end() <= state.now || b.end() <= state.now) {
                    continue;
                }
                if (a.daemon() != b.daemon()) {
                    return Optional.of("two owners:");
                }
                if (!a.pool().equals(b.pool())) {
                    return Optional.of("two pools:");
                }
            }
        }
        return Optional.empty();
    }

    private void step(ModelState from, String name, boolean fault, Consumer<ModelState> change) {
        if (!scope.test(name) || (fault && from.faults >= maxFaults)) {
            return;
        }
        ModelState next = new ModelState(from, name);
        next.faults += fault ? 1 : 0;
        change.accept(next);
        grantAll(next);
        successors.add(next);
    }

    private void grantAll(ModelState state) {
        List<ModelState.SlotLease> leases = new ArrayList<>();
        for (ModelState.SlotLease each : state.slotLeases) {
            if (each.end() > state.now) {
                leases.add(each);
            }
        }
        for (int d = 0; d < ModelState.DAEMONS; d++) {
            int grantable = grantable(state, d);
            for (int h = 0; h < ModelState.HOSTS; h++) {
                if ((grantable & 1 << h) != 0) {
                    if (state.nodes[d].lastGrant().get(h) != state.now) {
                        state.nodes[d] = state.nodes[d].lastGrant(h, state.now);
                    }
                    recordLease(leases, state, d, h, state.now + ModelRules.SLOT_LEASE);
                }
            }
        }
        state.slotLeases = List.copyOf(leases);
    }

    private void recordLease(
            List<ModelState.SlotLease> leases, ModelState state, int d, int h, long end) {
        String pool = state.nodes[d].view().workers().get(h).pool().value();
        leases.removeIf(l -> l.host() == h && l.daemon() == d && l.pool().equals(pool));
        leases.add(new ModelState.SlotLease(h, d, pool, end));
    }

    /** Returns the bit set of the hosts whose slots a daemon may grant. */
    private int grantable(ModelState state, int d) {
        ModelState.Node node = state.nodes[d];
        if (node.isPaused() || node.unresolved() || node.view() == null) {
            return 0;
        }
        boolean owner = RackTransitions.isOwner(node.view(), node.run());
        if (!owner
                || state.now < node.grantStart()
                || !rules.mayGrant(node.authority(), state.now)) {
            return 0;
        }
        return ~node.draining() & (1 << ModelState.HOSTS) - 1;
    }

    private void faultSteps(ModelState state, int d) {
        ModelState.Node node = state.nodes[d];
        if (state.reaches(d)) {
            step(state, "cut" + d, true, next -> next.partitioned |= 1 << d);
        } else {
            step(state, "heal" + d, false, next -> next.partitioned &= ~(1 << d));
        }
        if (events.contains(Event.RESTARTS)) {
            int boot = node.run().boot().value().charAt(1) - '0' + 1;
            DaemonRun run = run(d, boot);
            step(
                    state,
                    "restart" + d,
                    true,
                    next -> next.nodes[d] = node(run, Authority.none(run, TIMEOUTS)));
        }
        if (!events.contains(Event.PAUSES)) {
            return;
        }
        if (node.isPaused()) {
            step(state, "resume" + d, false, next -> resume(next, d));
        } else {
            int grantable = grantable(state, d);
            step(
                    state,
                    "pause" + d,
                    true,
                    next -> next.nodes[d] = node.paused(state.now, grantable));
        }
    }

    private void resume(ModelState next, int d) {
        ModelState.Node node = next.nodes[d];
        List<ModelState.SlotLease> leases = new ArrayList<>(next.slotLeases);
        for (int h = 0; h < ModelState.HOSTS; h++) {
            long end = rules.lateGrantEnd(node.pausedSince(), next.now);
            if ((node.grantableAtPause() & 1 << h) != 0 && end > next.now) {
                recordLease(leases, next, d, h, end);
            }
        }
        next.slotLeases = List.copyOf(leases);
        next.nodes[d] = node.paused(-1, 0);
    }

    private void messageSteps(ModelState state, int d) {
        ModelState.Node node = state.nodes[d];
        boolean owner = node.view() != null && RackTransitions.isOwner(node.view(), node.run());
        if (owner && !(state.reaches(d) && state.isLive(d))) {
            node.authority().confirmed().ifPresent(r -> promiseSteps(state, d, r));
            node.authority().pending().ifPresent(r -> promiseSteps(state, d, r));
        }
        if (node.attempt() == null) {
            return;
        }
        for (DaemonRun each : node.attempt().witnessesToAsk(state.now)) {
            int w = state.daemonOf(each);
            if (state.nodes[w].isPaused() || !state.nodes[w].run().equals(each)) {
                continue;
            }
            AuthorityRecord target = node.attempt().target();
            Witness.Answer answer =
                    rules.fence(state.nodes[w].witness(), target.run(), target.term(), state.now);
            if (answer.granted()) {
                step(
                        state,
                        "fence" + d + w,
                        false,
                        next -> {
                            next.nodes[w] = next.nodes[w].witness(answer.next());
                            TakeOver fenced = next.nodes[d].attempt().onFenced(each);
                            next.nodes[d] = next.nodes[d].attempt(fenced);
                        });
            }
        }
    }

    private void promiseSteps(ModelState state, int d, AuthorityRecord record) {
        for (DaemonRun each : record.witnesses().runs()) {
            int w = state.daemonOf(each);
            ModelState.Node witnessNode = state.nodes[w];
            if (witnessNode.isPaused() || !witnessNode.run().equals(each)) {
                continue;
            }
            Witness.Answer answer =
                    witnessNode.witness().promise(state.nodes[d].run(), record.term(), state.now);
            if (!answer.granted()) {
                continue;
            }
            step(
                    state,
                    "promise" + d + w,
                    false,
                    next -> {
                        next.nodes[w] = next.nodes[w].witness(answer.next());
                        Authority held =
                                rules.onPromise(
                                        next.nodes[d].authority(),
                                        each,
                                        record.term(),
                                        state.now,
                                        state.now);
                        next.nodes[d] = next.nodes[d].authority(held);
                    });
        }
    }

    /**
     * Advances time by one tick and renews leases. Daemons that own nothing renew whenever they
     * can, so that they interfere as much as possible; owners renew only if {@code ownersRenew} is
     * set.
     */
    private void tick(ModelState state, boolean ownersRenew) {
        boolean[] live = new boolean[ModelState.DAEMONS];
        for (int d = 0; d < ModelState.DAEMONS; d++) {
            live[d] = state.isLive(d);
        }
        state.tick();
        for (int d = 0; d < ModelState.DAEMONS; d++) {
            ModelState.Node node = state.nodes[d];
            boolean renews = live[d] && !node.isPaused() && state.reaches(d);
            if (renews && (ownersRenew || !isOwner(node))) {
                state.leaseEnds[d] = state.now + ModelRules.TICK;
                state.nodes[d] = node.authority(node.authority().onLease(state.now));
            }
        }
    }

    private static boolean isOwner(ModelState.Node node) {
        return node.view() != null && RackTransitions.isOwner(node.view(), node.run());
    }

    private void leaseSteps(ModelState state, int d) {
        Authority authority = state.nodes[d].authority();
        boolean closed = state.records[d].isClosed();
        boolean ownRecord = state.records[d].run().equals(state.nodes[d].run());
        if (closed && ownRecord) {
            if (authority.confirmed().isPresent()) {
                step(
                        state,
                        "closed" + d,
                        false,
                        next -> next.nodes[d] = next.nodes[d].authority(authority.onClosed()));
            }
            return;
        }
        if (!state.isLive(d) || !ownRecord) {
            step(
                    state,
                    "lease" + d,
                    false,
                    next -> {
                        next.leaseEnds[d] = next.now + ModelRules.TICK;
                        next.nodes[d] =
                                next.nodes[d].authority(rules.onNewLease(authority, next.now));
                    });
        }
        boolean bound = authority.equals(authority.onWrite(state.records[d]).onWritten());
        if (!bound || (isOwner(state.nodes[d]) && events.contains(Event.WITNESS_CHANGES))) {
            writeSteps(state, d);
        }
    }

    private void writeSteps(ModelState state, int d) {
        DaemonRun self = state.nodes[d].run();
        boolean[][] otherSets = {{true, true}, {true, false}, {false, true}};
        int kinds = events.contains(Event.WITNESS_CHANGES) ? otherSets.length : 1;
        for (int k = 0; k < kinds; k++) {
            List<DaemonRun> others = new ArrayList<>();
            for (int i = 1; i < ModelState.DAEMONS; i++) {
                if (otherSets[k][i - 1]) {
                    others.add(state.nodes[(d + i) % ModelState.DAEMONS].run());
                }
            }
            AuthorityRecord record = state.records[d].next(self, WitnessSet.of(self, others));
            if (state.records[d].term() >= 3) {
                return;
            }
            step(state, "write" + d + k, false, next -> write(next, d, record, true));
            if (events.contains(Event.LOST_ANSWERS)) {
                step(state, "lostwrite" + d + k, true, next -> write(next, d, record, false));
            }
        }
    }

    private void write(ModelState next, int d, AuthorityRecord record, boolean answered) {
        Authority sent = next.nodes[d].authority().onWrite(record);
        next.records[d] = record;
        next.recordRevisions[d]++;
        Authority after = answered ? sent.onWritten() : rules.onRecordAnswerLost(sent);
        next.nodes[d] = next.nodes[d].authority(after);
    }

    private void takeOverSteps(ModelState state, int d) {
        int ownerIndex = state.owner();
        ModelState.Node node = state.nodes[d];
        boolean mayTakeOver =
                events.contains(Event.RACING_TAKERS) || d == (ownerIndex + 1) % ModelState.DAEMONS;
        if (ownerIndex >= 0 && ownerIndex != d && mayTakeOver) {
            observeSteps(state, d, ownerIndex);
        }
        TakeOver attempt = node.attempt();
        if (attempt == null || !rules.mayClose(attempt, state.now)) {
            return;
        }
        int target = state.daemonOf(attempt.target().run());
        if (state.recordRevisions[target] == attempt.revision()) {
            step(
                    state,
                    "close" + d,
                    false,
                    next -> {
                        next.records[target] = attempt.target().close();
                        next.recordRevisions[target]++;
                        next.nodes[d] = next.nodes[d].attempt(null);
                    });
        }
    }

    private void observeSteps(ModelState state, int d, int ownerIndex) {
        TakeOver attempt = state.nodes[d].attempt();
        boolean stale =
                attempt != null
                        && (state.isLive(ownerIndex)
                                || attempt.revision() != state.recordRevisions[ownerIndex]);
        if (stale) {
            step(state, "drop" + d, false, next -> next.nodes[d] = next.nodes[d].attempt(null));
        }
        if (attempt == null && !state.isLive(ownerIndex) && !state.records[ownerIndex].isClosed()) {
            step(
                    state,
                    "absent" + d,
                    false,
                    next -> {
                        TakeOver started =
                                TakeOver.start(
                                        TIMEOUTS,
                                        next.records[ownerIndex],
                                        next.recordRevisions[ownerIndex],
                                        next.now);
                        next.nodes[d] = next.nodes[d].attempt(started);
                    });
        }
        for (int w = 0; attempt != null && w < ModelState.DAEMONS; w++) {
            TakeOver updated = rules.onLiveRun(attempt, state.nodes[w].run(), state.now);
            if (!updated.equals(attempt)) {
                step(
                        state,
                        "seen" + d + w,
                        false,
                        next -> next.nodes[d] = next.nodes[d].attempt(updated));
            }
        }
    }

    private void rackSteps(ModelState state, int d) {
        ModelState.Node node = state.nodes[d];
        int ownerIndex = state.owner();
        Optional<AuthorityRecord> owner =
                ownerIndex < 0 ? Optional.empty() : Optional.of(state.records[ownerIndex]);
        RackTransitions.TakeCondition condition = RackTransitions.takeCondition(state.rack, owner);
        boolean open = node.authority().confirmed().isPresent();
        if (condition != RackTransitions.TakeCondition.FORBIDDEN && open) {
            RackRecord taken = RackTransitions.taken(state.rack, node.run());
            writeRackSteps(state, d, "take", taken, rules.grantStart(condition, state.now));
        }
        boolean stale = node.unresolved() || node.viewRevision() != state.rackRevision;
        boolean owns = node.view() != null && RackTransitions.isOwner(node.view(), node.run());
        if (node.unresolved() || (stale && owns)) {
            step(state, "read" + d, false, next -> next.nodes[d] = read(next, next.nodes[d]));
            if (node.unresolved() && rules.rewritesBlindly()) {
                step(
                        state,
                        "rewrite" + d,
                        false,
                        next -> {
                            next.rack = node.view();
                            next.rackRevision++;
                            next.nodes[d] = node.view(node.view(), next.rackRevision);
                        });
            }
        }
        if (owns && !stale) {
            ownerSteps(state, d);
        }
    }

    private static ModelState.Node read(ModelState state, ModelState.Node node) {
        return node.view(state.rack, state.rackRevision);
    }

    private void ownerSteps(ModelState state, int d) {
        ModelState.Node node = state.nodes[d];
        int all = (1 << ModelState.HOSTS) - 1;
        boolean idle = true;
        for (int h = 0; h < ModelState.HOSTS; h++) {
            WorkerRecord worker = node.view().workers().get(h);
            boolean draining = (node.draining() & 1 << h) != 0;
            SlotTable.Outstanding out = outstanding(state, node, h);
            idle &= draining && rules.mayRelease(out);
            int bit = 1 << h;
            if (RackTransitions.isMoving(worker) && !draining) {
                step(
                        state,
                        "drain" + d + h,
                        false,
                        next -> next.nodes[d] = node.draining(node.draining() | bit));
            }
            if (RackTransitions.isMoving(worker) && draining && rules.mayCommit(out)) {
                RackRecord moved = RackTransitions.committed(node.view(), worker.worker());
                writeRackSteps(state, d, "commit" + h, moved, node.grantStart());
            }
            if (!RackTransitions.isMoving(worker) && draining) {
                step(
                        state,
                        "serve" + d + h,
                        false,
                        next -> next.nodes[d] = node.draining(node.draining() & ~bit));
            }
        }
        if (events.contains(Event.STOPS)) {
            if (node.draining() == 0) {
                step(state, "stop" + d, true, next -> next.nodes[d] = node.draining(all));
            }
            if (idle) {
                writeRackSteps(
                        state,
                        d,
                        "giveup",
                        RackTransitions.released(node.view()),
                        node.grantStart());
            }
        }
    }

    private SlotTable.Outstanding outstanding(ModelState state, ModelState.Node node, int h) {
        long end = node.lastGrant().get(h) + ModelRules.OWNER_SLOT_LEASE;
        boolean leased = state.now < end || state.now < node.grantStart();
        return new SlotTable.Outstanding(leased ? 1 : 0, 0, 0);
    }

    private void writeRackSteps(
            ModelState state, int d, String name, RackRecord record, long grantStart) {
        step(
                state,
                name + d,
                false,
                next -> {
                    next.rack = record;
                    next.rackRevision++;
                    next.nodes[d] =
                            next.nodes[d].view(record, next.rackRevision).grantStart(grantStart);
                });
        if (events.contains(Event.LOST_ANSWERS)) {
            step(
                    state,
                    "lost" + name + d,
                    true,
                    next -> {
                        next.rack = record;
                        next.rackRevision++;
                        next.nodes[d] = next.nodes[d].unresolved(record).grantStart(grantStart);
                    });
        }
    }

    private void planSteps(ModelState state) {
        for (int h = 0; h < ModelState.HOSTS; h++) {
            WorkerRecord worker = state.rack.workers().get(h);
            if (RackTransitions.isMoving(worker) || worker.pool().value().equals("b")) {
                continue;
            }
            List<WorkerRecord> workers = new ArrayList<>(state.rack.workers());
            workers.set(
                    h,
                    new WorkerRecord(
                            worker.worker(), worker.pool(), new PoolId("b"), worker.state()));
            RackRecord rack = state.rack;
            RackRecord planned =
                    new RackRecord(
                            rack.rack(),
                            rack.zone(),
                            rack.owner(),
                            rack.ownerBoot(),
                            rack.epoch(),
                            workers);
            step(
                    state,
                    "plan" + h,
                    false,
                    next -> {
                        next.rack = planned;
                        next.rackRevision++;
                    });
        }
    }
}
