package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.schedule.OpenStarts;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.daemon.log.Event;

/**
 * Settles a pool after a takeover: determines when the runs of the former owners are accounted for,
 * so that no task is started that one of them may be executing.
 */
final class FormerRuns {
    /**
     * Maximum time after the takeover for which a lease granted by the former owner may last on an
     * incarnation that had begun long before: the time for which it extends leases without a
     * confirmation of the duty, plus one run lease.
     */
    private static final Duration LEASE_EXPIRY = PoolOwner.MAX_CONFIRMATION_AGE.plusMillis(5000);

    /**
     * Age of an incarnation from which on no call for the one before can still arrive, with a
     * margin for the times of day of two machines.
     */
    private static final Duration SETTLED_AGE =
            PoolOwner.MAX_CONFIRMATION_AGE.plus(OpenStarts.MAX_DELAY).plusSeconds(15);

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final PoolScheduler scheduler;
    private final DutyView duty;
    private final long tookOverNanos;

    /**
     * Maximum time after the takeover for which a call of the former owner may keep a run alive:
     * the time for which it sends calls without a confirmation of the duty, the longest delay of a
     * call, and one lease. An incarnation that has begun since may grant the longest one.
     */
    private final Duration callsExpiry;

    /** Workers that may execute runs of an earlier owner; empty until the host list was read. */
    private Optional<Set<WorkerId>> workersToFence = Optional.empty();

    FormerRuns(BatchRuntime runtime, ServiceId service, PoolScheduler scheduler, DutyView duty) {
        this.runtime = runtime;
        this.service = service;
        this.scheduler = scheduler;
        this.duty = duty;
        tookOverNanos = runtime.clock().nanoTime();
        callsExpiry =
                PoolOwner.MAX_CONFIRMATION_AGE
                        .plus(OpenStarts.MAX_DELAY)
                        .plus(RunLease.longest(runtime.limits()));
    }

    /**
     * Settles the pool if the sessions with its workers show that all runs are accounted for, or
     * those that may not be have ended.
     *
     * @param registered the registered workers of all pools
     */
    void settle(Map<WorkerId, WorkerSession> sessions, Map<WorkerId, WorkerEntry> registered) {
        if (scheduler.isSettled()) {
            return;
        }
        boolean inherited =
                scheduler.submissions().stream()
                        .anyMatch(s -> s.isInherited() && !s.outcome().isFinal());
        Optional<Set<WorkerId>> unknown = workersToFence.map(w -> unknown(w, sessions));
        boolean known = unknown.filter(Set::isEmpty).isPresent();
        boolean old = unknown.filter(w -> areSettled(w, registered)).isPresent();
        Duration expiry = old ? LEASE_EXPIRY : callsExpiry;
        long age = runtime.clock().nanoTime() - tookOverNanos;
        boolean expired =
                age > expiry.toNanos()
                        && duty.wasHeldAt(tookOverNanos + expiry.toNanos())
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
     * Returns which of the workers that may execute a run of an earlier owner have not been fenced,
     * or have not listed all runs that they began before.
     */
    private static Set<WorkerId> unknown(
            Set<WorkerId> workers, Map<WorkerId, WorkerSession> sessions) {
        return workers.stream()
                .filter(w -> !sessions.containsKey(w) || !sessions.get(w).areFormerRunsKnown())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether the incarnations of workers began so long ago that all calls of the former
     * owner were for them. A worker that is registered has been heard of lately.
     */
    private boolean areSettled(Set<WorkerId> workers, Map<WorkerId, WorkerEntry> registered) {
        long latest = runtime.clock().now().minus(SETTLED_AGE).toEpochMilli();
        return workers.stream()
                .map(registered::get)
                .allMatch(
                        e ->
                                e != null
                                        && e.startedEpochMillis() > 0
                                        && e.startedEpochMillis() < latest);
    }

    /**
     * Returns whether a worker that has answered has yet to list ends of earlier runs. The expiry
     * of leases proves nothing for these: a run that is done must not be started again. A worker
     * that falls silent meanwhile is waited for only until its leases have ended.
     */
    private boolean isReadingEnds(WorkerSession session) {
        return session.isFenced()
                && !session.areFormerRunsKnown()
                && !session.areLeasesExpired(duty);
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
}
