package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.WorkerNode;
import org.crocusgrade.daemon.log.Event;

/**
 * The workers of one pool, as its owner deals with them: who is there, who was fenced, whose leases
 * have run out.
 */
final class PoolWorkers {
    /** How long after a take-over a lease of the last owner may live at most. */
    private static final Duration OLD_LEASES = PoolOwner.EXTEND_WITHOUT_STORE.plusMillis(5000);

    /** How long orders to the last incarnation of a worker may be on their way to the next. */
    private static final Duration ORDERS_ON_THEIR_WAY = Duration.ofSeconds(6);

    private final Runtime runtime;
    private final ServiceId service;
    private final Tenure tenure;
    private final PoolScheduler scheduler;
    private final WorkerSession.Listener listener;
    private final Map<WorkerId, WorkerSession> sessions = new TreeMap<>();
    private final Map<WorkerId, EndedIncarnation> endedIncarnations = new HashMap<>();
    private final long tookOverNanos;
    private Set<WorkerId> evacuating = Set.of();
    private Optional<Set<WorkerId>> suspects = Optional.empty();

    PoolWorkers(
            Runtime runtime,
            ServiceId service,
            Tenure tenure,
            PoolScheduler scheduler,
            WorkerSession.Listener listener) {
        this.runtime = runtime;
        this.service = service;
        this.tenure = tenure;
        this.scheduler = scheduler;
        this.listener = listener;
        tookOverNanos = runtime.clock().nanoTime();
    }

    Collection<WorkerSession> sessions() {
        return sessions.values();
    }

    void stop() {
        sessions.values().forEach(WorkerSession::close);
    }

    void send(Order order) {
        WorkerSession session = sessions.get(order.worker().id());
        if (session != null && session.node() == order.worker()) {
            session.send(order);
        }
    }

    /** Takes the workers that are registered, of all pools. */
    void onWorkers(Map<WorkerId, WorkerEntry> registered) {
        for (WorkerEntry entry : registered.values()) {
            if (entry.service().equals(service)) {
                onWorker(entry);
            }
        }
        for (WorkerSession session : sessions.values()) {
            WorkerEntry entry = registered.get(session.node().id());
            session.setRegistered(entry != null && entry.service().equals(service));
        }
    }

    private void onWorker(WorkerEntry entry) {
        WorkerSession held = sessions.get(entry.worker());
        if (held != null && held.node().born() != entry.born() && entry.born() > 0) {
            incarnationEnded(held, "registered again");
            held = null;
        }
        if (held == null) {
            held = open(entry);
        }
        held.setDraining(entry.draining());
    }

    private WorkerSession open(WorkerEntry entry) {
        WorkerNode node =
                new WorkerNode(
                        entry.worker(),
                        entry.host(),
                        entry.born(),
                        entry.zone(),
                        entry.rack(),
                        Set.copyOf(entry.labels()),
                        entry.capacity());
        node.setEvacuating(evacuating.contains(entry.worker()));
        WorkerSession session = new WorkerSession(runtime, node, entry, tenure.token(), listener);
        sessions.put(entry.worker(), session);
        EndedIncarnation last = endedIncarnations.remove(entry.worker());
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
                entry.born(),
                "cores",
                entry.capacity().milliCores());
        session.start();
        return session;
    }

    /** Sets which workers are to be emptied. */
    void evacuate(Set<WorkerId> workers) {
        evacuating = workers;
        for (WorkerSession session : sessions.values()) {
            session.node().setEvacuating(workers.contains(session.node().id()));
        }
    }

    /** Does what time brings. */
    void tick() {
        settle();
        forgetEndedIncarnations();
        for (WorkerSession session : List.copyOf(sessions.values())) {
            if (session.hasLapsed()) {
                onLapsed(session);
            }
        }
    }

    private void settle() {
        if (scheduler.isSettled()) {
            return;
        }
        boolean inherited =
                scheduler.submissions().stream()
                        .anyMatch(s -> s.isInherited() && !s.outcome().isFinal());
        boolean fenced = isAllFenced();
        long age = runtime.clock().nanoTime() - tookOverNanos;
        if (!inherited || fenced || age > OLD_LEASES.toNanos()) {
            scheduler.setSettled();
            runtime.log().log(
                    Event.POOL_SETTLED,
                    "pool",
                    service,
                    "fenced",
                    fenced,
                    "after-ms",
                    Duration.ofNanos(age).toMillis(),
                    "submissions",
                    scheduler.submissions().size());
        }
    }

    /** Returns whether each worker that may run something of an earlier owner has been asked. */
    private boolean isAllFenced() {
        return suspects.isPresent()
                && suspects.get().stream()
                        .allMatch(w -> sessions.containsKey(w) && sessions.get(w).isFenced());
    }

    /**
     * Takes the workers of the pool's hosts that are up, read after the take-over. What runs on a
     * worker ends when its host fails, moves or goes into maintenance, so a worker that a later
     * list lacks is no longer suspected.
     */
    void onLivingWorkers(Set<WorkerId> living) {
        Set<WorkerId> next = new HashSet<>(living);
        suspects.ifPresent(next::retainAll);
        suspects = Optional.of(next);
    }

    private void onLapsed(WorkerSession session) {
        WorkerNode node = session.node();
        if (!node.placements().isEmpty()) {
            runtime.log().log(
                    Event.WORKER_LAPSED,
                    "pool",
                    service,
                    "worker",
                    node.id(),
                    "runs",
                    node.placements().size());
            scheduler.clearRuns(node);
        }
        if (!session.isRegistered()) {
            close(session, "silent and no longer registered");
        }
    }

    /** Takes the certain end of a worker's incarnation. */
    void close(WorkerSession session, String reason) {
        session.close();
        sessions.remove(session.node().id(), session);
        scheduler.workerDied(session.node());
        log(session.node(), reason);
    }

    /**
     * Takes the end of an incarnation whose name another has. Orders without an answer may reach
     * that one, so their tasks wait until it has been asked.
     */
    void incarnationEnded(WorkerSession session, String reason) {
        WorkerNode node = session.node();
        if (!scheduler.incarnationEnded(node)) {
            close(session, reason);
            return;
        }
        session.close();
        sessions.remove(node.id(), session);
        endedIncarnations.put(node.id(), new EndedIncarnation(node, runtime.clock().nanoTime()));
        log(node, reason);
    }

    private void forgetEndedIncarnations() {
        long now = runtime.clock().nanoTime();
        endedIncarnations
                .values()
                .removeIf(
                        l -> {
                            boolean over = now - l.sinceNanos > ORDERS_ON_THEIR_WAY.toNanos();
                            if (over) {
                                scheduler.workerDied(l.node);
                            }
                            return over;
                        });
    }

    private void log(WorkerNode node, String reason) {
        runtime.log().log(
                Event.WORKER_GONE, "pool", service, "worker", node.id(), "reason", reason);
    }

    /** The last incarnation of a worker, with orders that may reach the next. */
    private record EndedIncarnation(WorkerNode node, long sinceNanos) {}
}
