package org.crocusgrade.core.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;

/**
 * Selects the worker for a task.
 *
 * <p>Load: pools whose hosts are lent to others between their own peaks. Tasks are packed on the
 * fullest worker that still fits them, by processors or memory, whichever is scarcer there, so that
 * whole hosts become free. Long-running tasks go to workers that have such tasks already, as far as
 * the step's limit per worker allows, and the tasks of one step are spread over racks first as far
 * as the step's limit of unavailable tasks requires, so that the loss of a rack or a maintenance
 * wave hits few of them. A task whose run failed goes to another worker if there is one: a worker
 * that fails every run always has room, and would use up the attempts of one task after another.
 * Opportunistic tasks go where the most processors are unclaimed, so that each has processors to
 * use and few of them interfere with serving tasks.
 */
final class Placer {
    /** How long a task waits for room on the rack of its data or of its step, in nanoseconds. */
    private static final long RACK_WAIT_NANOS = 800_000_000L;

    /**
     * On a worker where the share of opportunistic tasks is below this, further ones are placed
     * only as a last resort.
     */
    private static final int MIN_SHARE_PERCENT = 30;

    /**
     * Cost offset of a throttled worker, more than the processors of any worker, in thousandths of
     * a core.
     */
    private static final long THROTTLED_COST = 1L << 40;

    /**
     * Cost offset of a slow worker for batch tasks, more than the processors of any worker, in
     * thousandths of a core.
     */
    private static final long SLOW_COST = 1L << 40;

    /**
     * How long a failed task waits for a worker on which it has not failed, while there is one that
     * could take it.
     */
    private static final long AVOID_NANOS = 2_000_000_000L;

    /** What a long-running task weighs against runs of other tasks if its worker crashes. */
    private static final long LONG_RUNNING_RISK = 1000;

    private static final long MILLION = 1_000_000L;

    /** Cost offset of a worker without tasks, more than any share. */
    private static final long EMPTY_COST = 1L << 30;

    private final PoolState pool;
    private final Pacer pacer;
    private final Set<WorkerNode> reserved = new HashSet<>();
    private OptionalLong maxFreeMilliCores = OptionalLong.empty();

    Placer(PoolState pool, Pacer pacer) {
        this.pool = pool;
        this.pacer = pacer;
    }

    /** Begins a planning round: releases all reservations. */
    void beginRound() {
        reserved.clear();
        maxFreeMilliCores = OptionalLong.empty();
    }

    /** Places a run of a task on a worker. */
    Placement place(Task task, WorkerNode worker, long run, long now) {
        Placement placement = new Placement(task, worker, run, task.checkpoint(), now);
        placement.setTicket(task.step().advice().ticket(worker, now));
        task.releaseClaim();
        worker.add(placement);
        task.recordRun(run);
        onPlacementsChanged();
        return placement;
    }

    /** Records that a run was placed or taken back, which changes what is free on its worker. */
    void onPlacementsChanged() {
        maxFreeMilliCores = OptionalLong.empty();
    }

    /**
     * Reserves the worker with the most free processors among those that could take another task of
     * a step, as far as its tasks are not bound to others. No task is placed there during the rest
     * of this round.
     *
     * @return whether a worker was reserved
     */
    boolean reserveFor(TrackedStep step, long now) {
        WorkerNode best = null;
        Set<WorkerId> bound = boundWorkers(step, now);
        for (WorkerNode worker : pool.workers().values()) {
            boolean allowed =
                    isAllowed(worker, step, now)
                            && (bound.isEmpty() || bound.contains(worker.id()));
            boolean fits = allowed && couldTake(worker, step.spec()) && !isAtLimit(worker, step);
            if (!fits || !worker.acceptsRuns(now) || reserved.contains(worker)) {
                continue;
            }
            if (best == null || worker.free().milliCores() > best.free().milliCores()) {
                best = worker;
            }
        }
        if (best != null) {
            reserved.add(best);
            maxFreeMilliCores = OptionalLong.empty();
        }
        return best != null;
    }

    /**
     * Returns the workers to which the startable tasks of a step are bound; empty if one of them
     * may begin on any.
     */
    private Set<WorkerId> boundWorkers(TrackedStep step, long now) {
        Set<WorkerId> bound = new HashSet<>();
        for (Task task : step.tasks()) {
            if (task.isStartable(now)) {
                Optional<WorkerId> worker = pool.openStarts().boundTo(task);
                if (worker.isEmpty()) {
                    return Set.of();
                }
                bound.add(worker.get());
            }
        }
        return bound;
    }

    /** Returns whether a task may begin on one worker only, by a start that may be carried out. */
    boolean isBound(Task task) {
        return pool.openStarts().boundTo(task).isPresent();
    }

    /** Returns whether a task is bound to a worker that accepts no runs, or is not there. */
    boolean isBoundToUnusable(Task task, long now) {
        Optional<WorkerId> bound = pool.openStarts().boundTo(task);
        return bound.isPresent()
                && bound.map(pool.workers()::get).filter(w -> w.acceptsRuns(now)).isEmpty();
    }

    /**
     * Returns the most processors that are free or kept for a task on one worker, in thousandths of
     * a core. Valid within a planning round.
     */
    long maxFreeMilliCores(long now) {
        if (maxFreeMilliCores.isPresent()) {
            return maxFreeMilliCores.getAsLong();
        }
        long max = 0;
        for (WorkerNode worker : pool.workers().values()) {
            if (worker.acceptsRuns(now) && !reserved.contains(worker)) {
                max = Math.max(max, worker.unused().milliCores());
            }
        }
        maxFreeMilliCores = OptionalLong.of(max);
        return max;
    }

    /** Returns the best worker for a task, if one has room. */
    Optional<WorkerNode> choose(Task task, long now) {
        return choose(task, now, w -> true);
    }

    /**
     * Returns the best worker for a second run of a task, if one has room: in another rack than the
     * first run if possible, unless the step is faster in a certain rack.
     */
    Optional<WorkerNode> chooseForCopy(Task task, long now) {
        StepSpec spec = task.step().spec();
        if (spec.rackLocal() || spec.dataRack().isPresent()) {
            return choose(task, now);
        }
        Set<Optional<String>> racks = new HashSet<>();
        task.placements().forEach(p -> racks.add(p.worker().rack()));
        return choose(task, now, w -> !racks.contains(w.rack())).or(() -> choose(task, now));
    }

    private Optional<WorkerNode> choose(Task task, long now, Predicate<WorkerNode> filter) {
        Optional<WorkerId> bound = pool.openStarts().boundTo(task);
        if (bound.isPresent()) {
            return chooseBound(task, bound.get(), now);
        }
        Optional<WorkerNode> claimed = pool.claimOf(task, now);
        if (claimed.isPresent() && mayTake(claimed.get(), task, now)) {
            return claimed;
        }
        TrackedStep step = task.step();
        boolean ticketNeeded = needsTicket(step);
        boolean avoids = avoidsFailure(task, now);
        Optional<String> wantedRack = wantedRack(step, now);
        Map<String, Integer> tasksByRack = step.spec().longRunning() ? tasksByRack(step) : Map.of();
        WorkerNode best = null;
        long bestCost = Long.MAX_VALUE;
        for (WorkerNode worker : pool.workers().values()) {
            if (!mayTake(worker, task, now) || !filter.test(worker)) {
                continue;
            }
            if (wantedRack.isPresent() && !worker.hasLabel(wantedRack.get())) {
                continue;
            }
            if (ticketNeeded && step.advice().ticket(worker, now).isEmpty()) {
                continue;
            }
            if (avoids && task.hasFailedOn(worker.id())) {
                continue;
            }
            long cost = cost(worker, step, tasksByRack);
            if (best == null || cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the only worker on which the next run of a task may begin, if it has room. */
    private Optional<WorkerNode> chooseBound(Task task, WorkerId bound, long now) {
        return Optional.ofNullable(pool.workers().get(bound))
                .filter(w -> mayTake(w, task, now) && isAllowed(w, task.step(), now))
                .filter(w -> !(task.hasFailedOn(bound) && avoidsFailure(task, now)));
    }

    /** Returns whether a task is to be placed on a worker on which it has not failed. */
    private boolean avoidsFailure(Task task, long now) {
        return task.hasFailedWithin(AVOID_NANOS, now) && hasWorkerWithoutFailure(task, now);
    }

    /**
     * Returns the worker to be emptied for a task that may crash it: the one with the fewest
     * long-running tasks, then the fewest runs. It may have no room yet.
     *
     * @param taken workers that are not considered
     */
    Optional<WorkerNode> chooseForIsolation(Task task, Set<WorkerNode> taken, long now) {
        TrackedStep step = task.step();
        Optional<WorkerId> bound = pool.openStarts().boundTo(task);
        WorkerNode best = null;
        for (WorkerNode worker : pool.workers().values()) {
            boolean allowed =
                    isAllowed(worker, step, now) && bound.map(worker.id()::equals).orElse(true);
            Resources room = worker.capacity().minus(worker.longRunningReserved());
            boolean fits =
                    step.spec().reserved().fitsIn(room)
                            && hasLabel(worker, step.spec())
                            && !isAtLimit(worker, step);
            if (!allowed || !fits || !worker.acceptsSuspects(now) || taken.contains(worker)) {
                continue;
            }
            if (best == null || risk(worker) < risk(best)) {
                best = worker;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the cost of a crash of a worker: its runs, long-running ones first. */
    private static long risk(WorkerNode worker) {
        return worker.longRunning() * LONG_RUNNING_RISK + worker.placements().size();
    }

    /** Assigns a rack-local step to the rack with the most room, unless it has one already. */
    void chooseRack(TrackedStep step, long now) {
        if (!step.spec().rackLocal() || step.rack().isPresent()) {
            return;
        }
        Optional<String> best = Optional.empty();
        long bestPlaces = 0;
        for (String rack : racks()) {
            long places = 0;
            for (WorkerNode worker : pool.workers().values()) {
                if (worker.rack().equals(Optional.of(rack)) && worker.acceptsRuns(now)) {
                    places += places(worker.free(), step.spec());
                }
            }
            if (places > bestPlaces) {
                bestPlaces = places;
                best = Optional.of(rack);
            }
        }
        step.chooseRack(best);
    }

    private boolean mayTake(WorkerNode worker, Task task, long now) {
        TrackedStep step = task.step();
        StepSpec spec = step.spec();
        if (!worker.acceptsRuns(now) || reserved.contains(worker)) {
            return false;
        }
        if (!spec.reserved().fitsIn(worker.freeFor(task)) || !hasLabel(worker, spec)) {
            return false;
        }
        if (worker.placement(task.id()).isPresent()) {
            return false;
        }
        return worker.claims().contains(task) || !isAtLimit(worker, step);
    }

    /**
     * Returns whether there is a worker, perhaps without room now, on which a task has not failed.
     */
    private boolean hasWorkerWithoutFailure(Task task, long now) {
        for (WorkerNode worker : pool.workers().values()) {
            TrackedStep step = task.step();
            boolean usable =
                    worker.acceptsRuns(now)
                            && couldTake(worker, step.spec())
                            && !isAtLimit(worker, step)
                            && !step.advice().isDenied(worker);
            if (usable && !task.hasFailedOn(worker.id())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the rack that a task must be placed on now: that of its data or of its step, if the
     * pool has workers there and the task has not waited for room there long enough.
     */
    private Optional<String> wantedRack(TrackedStep step, long now) {
        Optional<String> wanted = step.rack().or(() -> step.spec().dataRack());
        if (wanted.isEmpty() || !racks().contains(wanted.get())) {
            return Optional.empty();
        }
        boolean waitExpired = now - step.rackWaitStartNanos(now) > RACK_WAIT_NANOS;
        return waitExpired ? Optional.empty() : wanted;
    }

    /** Returns how many tasks of a step run on each rack. */
    private static Map<String, Integer> tasksByRack(TrackedStep step) {
        Map<String, Integer> tasks = new HashMap<>();
        for (Task task : step.tasks()) {
            for (Placement placement : task.placements()) {
                placement.worker().rack().ifPresent(r -> tasks.merge(r, 1, Integer::sum));
            }
        }
        return tasks;
    }

    /**
     * Returns whether a start needs a ticket: the queue allows only workers approved by the advice
     * service.
     */
    private boolean needsTicket(TrackedStep step) {
        return pool.route(step.submission()).advice().isPresent();
    }

    private boolean isAllowed(WorkerNode worker, TrackedStep step, long now) {
        return !needsTicket(step) || step.advice().ticket(worker, now).isPresent();
    }

    /** Returns whether a worker without other runs could take a task. */
    static boolean couldTake(WorkerNode worker, StepSpec spec) {
        return spec.reserved().fitsIn(worker.capacity()) && hasLabel(worker, spec);
    }

    static boolean isAtLimit(WorkerNode worker, TrackedStep step) {
        int limit = step.spec().maxPerWorker();
        return limit > 0 && worker.tasksOf(step.id()) >= limit;
    }

    /** Returns how many more tasks of a step a worker has room for. */
    static long places(WorkerNode worker, TrackedStep step) {
        long room = places(worker.free(), step.spec());
        int limit = step.spec().maxPerWorker();
        return limit == 0 ? room : Math.min(room, limit - worker.tasksOf(step.id()));
    }

    private Set<String> racks() {
        Set<String> racks = new HashSet<>();
        for (WorkerNode worker : pool.workers().values()) {
            worker.rack().ifPresent(racks::add);
        }
        return racks;
    }

    static boolean hasLabel(WorkerNode worker, StepSpec spec) {
        return spec.requiredLabel().map(worker::hasLabel).orElse(true);
    }

    /** Returns how many tasks of a step fit in an amount, within the step's limit per worker. */
    static long places(Resources free, StepSpec spec) {
        Resources each = spec.reserved();
        long byCores =
                each.milliCores() == 0 ? spec.tasks() : free.milliCores() / each.milliCores();
        long byMemory = each.memoryMb() == 0 ? spec.tasks() : free.memoryMb() / each.memoryMb();
        long byAccelerators =
                each.accelerators() == 0 ? spec.tasks() : free.accelerators() / each.accelerators();
        long places = Math.max(0, Math.min(byAccelerators, Math.min(byCores, byMemory)));
        return spec.maxPerWorker() == 0 ? places : Math.min(places, spec.maxPerWorker());
    }

    private long cost(WorkerNode worker, TrackedStep step, Map<String, Integer> tasksByRack) {
        if (step.spec().longRunning()) {
            return longRunningCost(worker, step.spec(), tasksByRack);
        }
        return step.spec().opportunistic()
                ? opportunisticCost(worker)
                : batchCost(worker, step.spec());
    }

    /**
     * Prefers workers with more unclaimed processors and without long-running tasks; those where
     * opportunistic tasks are throttled come last.
     */
    private long opportunisticCost(WorkerNode worker) {
        long unclaimed = worker.unclaimedMilliCores();
        if (pacer.percent(worker) < MIN_SHARE_PERCENT) {
            return THROTTLED_COST - unclaimed;
        }
        return worker.longRunning() > 0 ? -unclaimed / 2 : -unclaimed;
    }

    /** Prefers the worker that the task fills most; empty workers come last. */
    private static long batchCost(WorkerNode worker, StepSpec spec) {
        long cost = freeShareAfter(worker, spec);
        cost += worker.isSlow() ? SLOW_COST : 0;
        return worker.placements().isEmpty() ? EMPTY_COST + cost : cost;
    }

    /**
     * Prefers racks on which no more tasks of the step run than may be unavailable, then workers
     * with long-running tasks, then the one that the task fills most.
     */
    private static long longRunningCost(
            WorkerNode worker, StepSpec spec, Map<String, Integer> tasksByRack) {
        long tasksOnRack = worker.rack().map(r -> tasksByRack.getOrDefault(r, 0)).orElse(0);
        long excess = Math.max(0, tasksOnRack + 1 - Math.max(1, spec.maxUnavailable()));
        long withoutLongRunning = worker.longRunning() > 0 ? 0 : 1;
        return (excess << 40) + (withoutLongRunning << 36) + freeShareAfter(worker, spec);
    }

    /**
     * Returns the share of a worker that is left after a placement, of the resource that binds
     * there, in millionths.
     */
    private static long freeShareAfter(WorkerNode worker, StepSpec spec) {
        Resources free = worker.free();
        Resources all = worker.capacity();
        Resources task = spec.reserved();
        long cores = share(free.milliCores() - task.milliCores(), all.milliCores());
        long memory = share(free.memoryMb() - task.memoryMb(), all.memoryMb());
        return Math.min(cores, memory);
    }

    private static long share(long part, long all) {
        return all <= 0 ? MILLION : part * MILLION / all;
    }
}
