package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.RepeatDelay;
import org.crocusgrade.core.schedule.StopReason;
import org.crocusgrade.core.schedule.WorkerNode;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.daemon.batch.LateStarts.LateStart;
import org.crocusgrade.daemon.log.Event;

/**
 * The owner's sessions with the workers of one pool: opens and closes them, and determines which
 * workers are fenced and whose leases have expired.
 */
final class PoolWorkers {
    /**
     * Maximum time after a takeover for which a lease granted by the former owner may last: the
     * time for which it extends leases without a confirmation of the duty, plus one run lease.
     */
    private static final Duration FORMER_LEASE_EXPIRY =
            PoolOwner.MAX_CONFIRMATION_AGE.plusMillis(5000);

    /**
     * How long a start of a task that is open, sent to one incarnation of a worker, blocks the task
     * while the next one has not registered.
     */
    private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(6);

    /** Half of an order's time-out: a repetition that is sent later hardly helps. */
    private static final Duration MAX_REPEAT_DELAY = Duration.ofMillis(400);

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final PoolScheduler scheduler;
    private final DutyView duty;
    private final WorkerSession.Listener listener;
    private final LateStarts lateStarts = new LateStarts();
    private final RepeatDelay orderDelay = new RepeatDelay(MAX_REPEAT_DELAY);
    private final FencingTokens tokens;
    private final Map<WorkerId, WorkerSession> sessions = new TreeMap<>();
    private final Map<WorkerId, EndedIncarnation> endedIncarnations = new HashMap<>();
    private final long tookOverNanos;
    private boolean stopped;
    private Map<WorkerId, WorkerEntry> registered = Map.of();
    private Set<WorkerId> evacuating = Set.of();

    /** Workers that may execute runs of an earlier owner; empty until the host list was read. */
    private Optional<Set<WorkerId>> workersToFence = Optional.empty();

    PoolWorkers(
            BatchRuntime runtime,
            ServiceId service,
            DutyOwnership ownership,
            PoolScheduler scheduler,
            DutyView duty,
            WorkerSession.Listener listener) {
        this.runtime = runtime;
        this.service = service;
        this.scheduler = scheduler;
        this.duty = duty;
        this.listener = listener;
        tokens = new FencingTokens(runtime, ownership, this::openWaiting);
        tookOverNanos = runtime.clock().nanoTime();
    }

    Collection<WorkerSession> sessions() {
        return sessions.values();
    }

    void stop() {
        stopped = true;
        sessions.values().forEach(WorkerSession::close);
    }

    /** Records a revision of the store at which this owner still held its duty. */
    void onConfirmed(long revision) {
        tokens.confirm(revision);
    }

    void send(Order order) {
        WorkerSession session = sessions.get(order.worker().id());
        if (session != null && session.node() == order.worker()) {
            session.send(order);
        }
    }

    private void openWaiting() {
        if (!stopped) {
            onWorkers(registered);
        }
    }

    /** Updates the sessions to the registered workers, given for all pools. */
    void onWorkers(Map<WorkerId, WorkerEntry> entries) {
        registered = entries;
        for (WorkerEntry entry : registered.values()) {
            if (entry.service().equals(service)) {
                // One entry that cannot be taken over must not keep back the others.
                runtime.guard(() -> onWorker(entry));
            }
        }
        for (WorkerSession session : sessions.values()) {
            WorkerEntry entry = registered.get(session.node().id());
            session.setRegistered(entry != null && entry.service().equals(service));
        }
    }

    private void onWorker(WorkerEntry entry) {
        WorkerSession held = sessions.get(entry.worker());
        if (held != null
                && held.node().startedEpochMillis() != entry.startedEpochMillis()
                && entry.startedEpochMillis() > 0) {
            incarnationEnded(held, "registered again");
            held = null;
        }
        Optional<WorkerSession> session = held == null ? open(entry) : Optional.of(held);
        session.ifPresent(
                s -> {
                    s.setDraining(entry.draining());
                    updateCapacity(s.node(), entry.capacity());
                });
    }

    private void updateCapacity(WorkerNode node, Resources reported) {
        Resources last = node.capacity();
        if (reported.equals(last)) {
            return;
        }
        node.setCapacity(reported);
        runtime.log().log(
                Event.WORKER_RESIZED,
                "pool",
                service,
                "worker",
                node.id(),
                "cores",
                reported.milliCores(),
                "last-cores",
                last.milliCores(),
                "memory-mb",
                reported.memoryMb(),
                "free",
                node.free().milliCores());
    }

    /**
     * Opens a session with an incarnation of a worker; empty while no token is known that is above
     * those of its former incarnations.
     */
    private Optional<WorkerSession> open(WorkerEntry entry) {
        EndedIncarnation last = endedIncarnations.get(entry.worker());
        OptionalLong token =
                last == null ? OptionalLong.of(tokens.latest()) : tokens.above(last.token);
        if (token.isEmpty()) {
            return Optional.empty();
        }
        WorkerNode node =
                new WorkerNode(
                        entry.worker(),
                        entry.host(),
                        entry.startedEpochMillis(),
                        entry.zone(),
                        entry.rack(),
                        Set.copyOf(entry.labels()),
                        entry.capacity());
        node.setEvacuating(evacuating.contains(entry.worker()));
        WorkerSession session =
                new WorkerSession(runtime, node, entry, token.getAsLong(), orderDelay, listener);
        sessions.put(entry.worker(), session);
        endedIncarnations.remove(entry.worker());
        if (last == null) {
            scheduler.addWorker(node);
        } else {
            scheduler.addNextIncarnation(last.node, node, runtime.clock().nanoTime());
        }
        runtime.log().log(
                Event.WORKER_JOINED,
                "pool",
                service,
                "worker",
                entry.worker(),
                "born",
                entry.startedEpochMillis(),
                "cores",
                entry.capacity().milliCores());
        session.start();
        rejectLateStarts(session);
        return Optional.of(session);
    }

    /** Records a start without an answer, which the worker may carry out later. */
    void onStartUnanswered(Placement placement, long sentNanos) {
        WorkerId worker = placement.worker().id();
        lateStarts.add(worker, placement.task().id(), placement.run(), sentNanos);
    }

    /**
     * Tells an incarnation of a worker to reject the starts that were sent to the one before. The
     * runs that it may be executing for this owner are left to the reports.
     */
    private void rejectLateStarts(WorkerSession session) {
        WorkerNode node = session.node();
        for (LateStart late : lateStarts.of(node.id(), runtime.clock().nanoTime())) {
            if (node.placement(late.task()).filter(p -> p.run() == late.run()).isEmpty()) {
                runtime.log().log(
                        Event.RUN_STOPPED,
                        "task",
                        late.task(),
                        "run",
                        late.run(),
                        "worker",
                        node.id(),
                        "reason",
                        "late-start");
                session.send(
                        new Order.Stop(
                                node,
                                late.task(),
                                late.run(),
                                Optional.empty(),
                                StopReason.UNWANTED));
            }
        }
    }

    /** Sets the workers to evacuate; workers missing from the set accept runs again. */
    void evacuate(Set<WorkerId> workers) {
        evacuating = workers;
        for (WorkerSession session : sessions.values()) {
            session.node().setEvacuating(workers.contains(session.node().id()));
        }
    }

    /**
     * Settles the pool once the runs of earlier owners are accounted for, and handles ended
     * incarnations and expired leases.
     */
    void tick() {
        settle();
        lateStarts.removeOld(runtime.clock().nanoTime());
        removeOldIncarnations();
        for (WorkerSession session : List.copyOf(sessions.values())) {
            if (areLeasesExpired(session)) {
                onLeasesExpired(session);
            }
        }
    }

    /**
     * Returns whether the leases of a worker's runs have certainly ended. A worker that this owner
     * does not reach may be reached by the next one, which extends them, so they count as ended
     * only if there was no other owner before their end.
     */
    private boolean areLeasesExpired(WorkerSession session) {
        return session.areLeasesExpired() && duty.wasHeldAt(session.leasesEndNanos());
    }

    private void settle() {
        if (scheduler.isSettled()) {
            return;
        }
        boolean inherited =
                scheduler.submissions().stream()
                        .anyMatch(s -> s.isInherited() && !s.outcome().isFinal());
        boolean known = areAllFormerRunsKnown();
        long age = runtime.clock().nanoTime() - tookOverNanos;
        long expiryNanos = tookOverNanos + FORMER_LEASE_EXPIRY.toNanos();
        boolean expired =
                age > FORMER_LEASE_EXPIRY.toNanos()
                        && duty.wasHeldAt(expiryNanos)
                        && sessions.values().stream().noneMatch(this::isReadingEnds);
        if (!inherited || known || expired) {
            scheduler.setSettled();
            runtime.log().log(
                    Event.POOL_SETTLED,
                    "pool",
                    service,
                    "fenced",
                    known,
                    "after-ms",
                    Duration.ofNanos(age).toMillis(),
                    "submissions",
                    scheduler.submissions().size());
        }
    }

    /**
     * Returns whether every worker that may execute a run of an earlier owner has been fenced, and
     * has listed all runs that it began before.
     */
    private boolean areAllFormerRunsKnown() {
        return workersToFence.isPresent()
                && workersToFence.get().stream()
                        .allMatch(
                                w ->
                                        sessions.containsKey(w)
                                                && sessions.get(w).areFormerRunsKnown());
    }

    /**
     * Returns whether a worker that has answered has yet to list ends of earlier runs. The expiry
     * of leases proves nothing for these: a run that is done must not be started again. A worker
     * that falls silent meanwhile is waited for only until its leases have ended.
     */
    private boolean isReadingEnds(WorkerSession session) {
        return session.isFenced() && !session.areFormerRunsKnown() && !areLeasesExpired(session);
    }

    /**
     * Sets the workers on the pool's hosts that are up, as read after the takeover. The runs on a
     * worker end when its host fails, moves or enters maintenance, so a worker that is missing from
     * a later list can no longer have runs of an earlier owner.
     */
    void onLiveWorkers(Set<WorkerId> live) {
        Set<WorkerId> next = new HashSet<>(live);
        workersToFence.ifPresent(next::retainAll);
        workersToFence = Optional.of(next);
    }

    private void onLeasesExpired(WorkerSession session) {
        WorkerNode node = session.node();
        if (!node.placements().isEmpty()) {
            runtime.log().log(
                    Event.WORKER_LAPSED,
                    "pool",
                    service,
                    "worker",
                    node.id(),
                    "runs",
                    node.placements().size(),
                    "ended-ms-ago",
                    Duration.ofNanos(runtime.clock().nanoTime() - session.leasesEndNanos())
                            .toMillis());
            scheduler.clearRuns(node);
        }
        if (!session.isRegistered()) {
            close(session, "silent and no longer registered");
        }
    }

    /** Removes a worker whose incarnation has certainly ended. */
    void close(WorkerSession session, String reason) {
        end(session, reason);
        scheduler.removeWorker(session.node());
    }

    private void end(WorkerSession session, String reason) {
        WorkerNode node = session.node();
        session.close();
        sessions.remove(node.id(), session);
        endedIncarnations.put(
                node.id(),
                new EndedIncarnation(node, session.target().token(), runtime.clock().nanoTime()));
        log(node, reason);
    }

    /**
     * Removes an incarnation that has ended while another has taken its name. Orders without an
     * answer may reach the new incarnation, so their tasks wait until that one has reported its
     * runs.
     */
    void incarnationEnded(WorkerSession session, String reason) {
        if (scheduler.incarnationEnded(session.node())) {
            end(session, reason);
        } else {
            close(session, reason);
        }
    }

    private void removeOldIncarnations() {
        long now = runtime.clock().nanoTime();
        for (EndedIncarnation ended : endedIncarnations.values()) {
            if (now - ended.sinceNanos > MAX_ORDER_DELAY.toNanos()) {
                scheduler.removeWorker(ended.node);
            }
        }
        endedIncarnations
                .values()
                .removeIf(l -> now - l.sinceNanos > LateStarts.MAX_DELAY.toNanos());
    }

    private void log(WorkerNode node, String reason) {
        runtime.log().log(
                Event.WORKER_GONE, "pool", service, "worker", node.id(), "reason", reason);
    }

    /**
     * An ended incarnation of a worker, with orders that may reach the next one.
     *
     * @param token the fencing token of these orders
     */
    private record EndedIncarnation(WorkerNode node, long token, long sinceNanos) {}
}
