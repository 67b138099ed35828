package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.schedule.OpenStarts;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.RepeatDelay;
import org.crocusgrade.core.schedule.StopReason;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.schedule.WorkerNode;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.RunId;
import org.crocusgrade.daemon.log.Event;

/**
 * The owner's sessions with the workers of one pool: opens and closes them, and determines which
 * workers are fenced and whose leases have expired.
 */
final class PoolWorkers {
    /** Half of an order's time-out: a repetition that is sent later hardly helps. */
    private static final Duration MAX_REPEAT_DELAY = Duration.ofMillis(400);

    /** Minimum time between reads of the host list, in milliseconds. */
    private static final long HOSTS_READ_MILLIS = 1000;

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final PoolScheduler scheduler;
    private final DutyView duty;
    private final WorkerSession.Listener listener;
    private final RepeatDelay orderDelay = new RepeatDelay(MAX_REPEAT_DELAY);
    private final StartCalls startCalls;
    private final FencingTokens tokens;
    private final FormerRuns formerRuns;
    private final Map<WorkerId, WorkerSession> sessions = new TreeMap<>();
    private final Map<WorkerId, EndedIncarnation> endedIncarnations = new HashMap<>();
    private boolean readingHosts;
    private final long tookOverNanos;
    private boolean stopped;
    private Map<WorkerId, WorkerEntry> registered = Map.of();
    private Set<WorkerId> evacuating = Set.of();

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
        startCalls = new StartCalls(runtime, scheduler);
        tokens = new FencingTokens(runtime, ownership, () -> onWorkers(registered));
        formerRuns = new FormerRuns(runtime, service, scheduler, duty);
        tookOverNanos = runtime.clock().nanoTime();
    }

    /** Sets the workers on the pool's hosts that are up, as read after the takeover. */
    void onLiveWorkers(Set<WorkerId> live) {
        formerRuns.onLiveWorkers(live);
    }

    /** Restores which starts of a submission its earlier owner got no answer to. */
    void restoreStarts(TrackedSubmission submission) {
        startCalls.restore(submission, tookOverNanos);
    }

    Collection<WorkerSession> sessions() {
        return sessions.values();
    }

    void stop() {
        stopped = true;
        tokens.stop();
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
                new WorkerSession(
                        runtime,
                        node,
                        entry,
                        token.getAsLong(),
                        last == null ? OptionalLong.empty() : last.lastCallNanos,
                        startCalls,
                        orderDelay,
                        listener);
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
        if (last != null) {
            rejectLateStarts(session);
        }
        return Optional.of(session);
    }

    /**
     * Tells an incarnation of a worker to reject the starts that were sent to the one before. The
     * runs that it may be executing for this owner are left to the reports.
     */
    private void rejectLateStarts(WorkerSession session) {
        WorkerNode node = session.node();
        for (RunId late : scheduler.openStarts().on(node.id(), runtime.clock().nanoTime())) {
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
        formerRuns.settle(sessions, registered);
        scheduler.openStarts().removeOld(runtime.clock().nanoTime(), duty::wasHeldAt);
        List<WorkerNode> unresolved = removeOldIncarnations();
        for (WorkerSession session : List.copyOf(sessions.values())) {
            boolean expired = session.areLeasesExpired(duty);
            boolean clear =
                    expired
                            ? onLeasesExpired(session)
                            : session.isFenced() || clearIfUnreachable(session);
            boolean mayHoldTasks =
                    session.node().isSilent()
                            && scheduler.openStarts().isAnyOn(session.node().id());
            if (!clear || mayHoldTasks) {
                unresolved.add(session.node());
            }
        }
        if (!unresolved.isEmpty()) {
            readHosts(unresolved);
        }
    }

    /**
     * Removes the runs of a worker whose leases have expired, but not those that its next
     * incarnation may execute while neither is reached. For example, a start that got no answer is
     * carried out 12 s later, and its lease lasts 6 s from then on.
     *
     * @return whether none is left
     */
    private boolean onLeasesExpired(WorkerSession session) {
        WorkerNode node = session.node();
        int before = node.placements().size();
        scheduler.removeConfinedRuns(node);
        int ended = before - node.placements().size();
        if (ended > 0) {
            logLapsed(session, ended, session.leasesEndNanos());
        }
        if (!clearIfUnreachable(session)) {
            return false;
        }
        if (!session.isRegistered()) {
            close(session, "silent and no longer registered");
        }
        return true;
    }

    /**
     * Removes the runs that the next incarnation of a worker may execute once it can no longer do
     * so: the last call that extends a lease is too old to be carried out, and its lease has ended.
     *
     * @return whether none is left
     */
    private boolean clearIfUnreachable(WorkerSession session) {
        WorkerNode node = session.node();
        long end = callsEndNanos(session.lastCallNanos());
        boolean mayRun = runtime.clock().nanoTime() - end <= 0 || !duty.wasHeldAt(end);
        if (!node.placements().isEmpty()) {
            if (mayRun) {
                return false;
            }
            logLapsed(session, node.placements().size(), end);
        }
        scheduler.clearRuns(node);
        return true;
    }

    private long callsEndNanos(OptionalLong lastCallNanos) {
        long last = lastCallNanos.orElse(tookOverNanos);
        return last + OpenStarts.MAX_DELAY.plus(RunLease.longest(runtime.limits())).toNanos();
    }

    private void logLapsed(WorkerSession session, int runs, long endNanos) {
        runtime.log().log(
                Event.WORKER_LAPSED,
                "pool",
                service,
                "worker",
                session.node().id(),
                "runs",
                runs,
                "unresolved",
                session.node().placements().size(),
                "ended-ms-ago",
                Duration.ofNanos(runtime.clock().nanoTime() - endNanos).toMillis());
    }

    /** Reads the hosts, to find workers that are gone for good, with all that they execute. */
    private void readHosts(List<WorkerNode> unresolved) {
        if (readingHosts) {
            return;
        }
        readingHosts = true;
        runtime.hosts()
                .hosts()
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        h -> {
                            onHosts(unresolved, h);
                            runtime.after(HOSTS_READ_MILLIS, () -> readingHosts = false);
                        },
                        f -> runtime.after(HOSTS_READ_MILLIS, () -> readingHosts = false));
    }

    private void onHosts(List<WorkerNode> unresolved, List<PooledHost> found) {
        Map<HostId, PooledHost> hosts = new HashMap<>();
        found.forEach(h -> hosts.put(h.host(), h));
        for (WorkerNode node : unresolved) {
            if (!stopped && isGone(node, hosts)) {
                log(node, "host " + node.host().orElseThrow() + " has another worker or is gone");
                scheduler.onWorkerGone(node);
            }
        }
    }

    /**
     * Returns whether a worker cannot come back under its id. One whose host is down can: its next
     * incarnation may carry out what was sent to this one.
     */
    private boolean isGone(WorkerNode node, Map<HostId, PooledHost> hosts) {
        if (node.host().isEmpty()) {
            return false;
        }
        PooledHost host = hosts.get(node.host().get());
        if (host == null || !host.pool().equals(service)) {
            return true;
        }
        return switch (host.state()) {
            case UP -> host.worker().filter(w -> !w.equals(node.id())).isPresent();
            case DOWN -> false;
            default -> true;
        };
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
                new EndedIncarnation(node, session.target().token(), session.lastCallNanos()));
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

    /**
     * Forgets the incarnations of which no call has an effect; returns those with open runs or
     * starts.
     */
    private List<WorkerNode> removeOldIncarnations() {
        long now = runtime.clock().nanoTime();
        List<WorkerNode> unresolved = new ArrayList<>();
        for (EndedIncarnation ended : List.copyOf(endedIncarnations.values())) {
            long end = callsEndNanos(ended.lastCallNanos);
            if (now - end > 0 && duty.wasHeldAt(end)) {
                scheduler.removeWorker(ended.node);
                endedIncarnations.remove(ended.node.id());
            } else if (!ended.node.placements().isEmpty()
                    || scheduler.openStarts().isAnyOn(ended.node.id())) {
                unresolved.add(ended.node);
            }
        }
        return unresolved;
    }

    private void log(WorkerNode node, String reason) {
        runtime.log().log(
                Event.WORKER_GONE, "pool", service, "worker", node.id(), "reason", reason);
    }

    /**
     * An ended incarnation of a worker, with orders that may reach the next one.
     *
     * @param token the fencing token of these orders
     * @param lastCallNanos when a call that extends its leases was last sent
     */
    private record EndedIncarnation(WorkerNode node, long token, OptionalLong lastCallNanos) {}
}
