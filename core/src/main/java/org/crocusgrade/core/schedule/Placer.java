package org.crocusgrade.core.schedule;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;

/**
 * Chooses the worker for a task.
 *
 * <p>Load: pools whose hosts are lent to others between their own peaks. Tasks are packed on the
 * fullest worker that still fits them, so that whole hosts come free. Long-running tasks go to
 * workers that have such tasks already, as far as the step's limit for a worker allows, and the
 * tasks of one step go to different racks first, so that a lost rack or a maintenance wave takes
 * few of them. A task whose run failed goes to another worker if there is any: a worker that fails
 * all it starts always has room, and would use up the attempts of task after task. Opportunistic
 * tasks go where the most processors are unclaimed, so that each has something to work with and few
 * of them interfere with tasks that serve users.
 */
final class Placer {
    /** How long a task waits for a place on the rack of its data or of its step, in nanoseconds. */
    private static final long RACK_PATIENCE_NANOS = 800_000_000L;

    /** Where opportunistic tasks are slowed down below this, others rather go elsewhere. */
    private static final int LEAST_SHARE_PERCENT = 30;

    /** More than the processors of any worker, in thousandths of a core. */
    private static final long LAST_CHOICE = 1L << 40;

    /** How long a task that failed waits for another worker while one could take it. */
    private static final long AVOID_NANOS = 2_000_000_000L;

    private final PoolState pool;
    private final Pacer pacer;
    private final Set<WorkerNode> reserved = new HashSet<>();

    Placer(PoolState pool, Pacer pacer) {
        this.pool = pool;
        this.pacer = pacer;
    }

    /** Begins a round: nothing is reserved. */
    void begin() {
        reserved.clear();
    }

    /**
     * Keeps the emptiest worker that could take another task of a step free for it during this
     * round, if there is one.
     *
     * @return whether a worker is kept
     */
    boolean reserveFor(TrackedStep step, long now) {
        WorkerNode best = null;
        boolean advised = isAdvised(step);
        for (WorkerNode worker : pool.workers().values()) {
            boolean allowed = !advised || step.advice().ticket(worker, now).isPresent();
            boolean fits = allowed && couldTake(worker, step.spec()) && !isAtLimit(worker, step);
            if (!fits || !worker.takesWork(now) || reserved.contains(worker)) {
                continue;
            }
            if (best == null || worker.free().milliCores() > best.free().milliCores()) {
                best = worker;
            }
        }
        if (best != null) {
            reserved.add(best);
        }
        return best != null;
    }

    /** Returns the most processors that a worker has free, in thousandths of a core. */
    long mostFree(long now) {
        long most = 0;
        for (WorkerNode worker : pool.workers().values()) {
            if (worker.takesWork(now) && !reserved.contains(worker)) {
                most = Math.max(most, worker.free().milliCores());
            }
        }
        return most;
    }

    /** Returns the best worker for a task, if one has room. */
    Optional<WorkerNode> choose(Task task, long now) {
        TrackedStep step = task.step();
        boolean advised = isAdvised(step);
        boolean avoids = task.hasFailedWithin(AVOID_NANOS, now) && hasFreshWorker(task, now);
        WorkerNode best = null;
        long bestCost = Long.MAX_VALUE;
        for (WorkerNode worker : pool.workers().values()) {
            if (!mayTake(worker, task, now)) {
                continue;
            }
            if (advised && step.advice().ticket(worker, now).isEmpty()) {
                continue;
            }
            if (avoids && task.hasFailedOn(worker.id())) {
                continue;
            }
            long cost = cost(worker, step);
            if (best == null || cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Chooses the rack that a rack-local step keeps to: that with the most room. */
    void chooseRack(TrackedStep step, long now) {
        if (!step.spec().rackLocal() || step.rack().isPresent()) {
            return;
        }
        Optional<String> best = Optional.empty();
        long bestPlaces = 0;
        for (String rack : racks()) {
            long places = 0;
            for (WorkerNode worker : pool.workers().values()) {
                if (worker.rack().equals(Optional.of(rack)) && worker.takesWork(now)) {
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
        if (!worker.takesWork(now) || reserved.contains(worker)) {
            return false;
        }
        if (!spec.reserved().fitsIn(worker.free()) || !hasLabel(worker, spec)) {
            return false;
        }
        if (worker.placement(task.id()).isPresent()) {
            return false;
        }
        if (isAtLimit(worker, step)) {
            return false;
        }
        return isOnWantedRack(worker, step, now);
    }

    /**
     * Returns whether there is a worker, perhaps without room now, on which a task has not failed.
     */
    private boolean hasFreshWorker(Task task, long now) {
        for (WorkerNode worker : pool.workers().values()) {
            TrackedStep step = task.step();
            boolean usable =
                    worker.takesWork(now)
                            && couldTake(worker, step.spec())
                            && !isAtLimit(worker, step)
                            && !step.advice().isDenied(worker);
            if (usable && !task.hasFailedOn(worker.id())) {
                return true;
            }
        }
        return false;
    }

    private boolean isOnWantedRack(WorkerNode worker, TrackedStep step, long now) {
        Optional<String> wanted = step.rack().or(() -> step.spec().dataRack());
        if (wanted.isEmpty() || !racks().contains(wanted.get())) {
            return true;
        }
        boolean patienceOver = now - step.rackWantedSince(now) > RACK_PATIENCE_NANOS;
        return worker.hasLabel(wanted.get()) || patienceOver;
    }

    /** Returns whether only some workers may run a step, and the advice service knows which. */
    private boolean isAdvised(TrackedStep step) {
        return pool.route(step.submission()).advice().isPresent();
    }

    /** Returns whether a worker without other runs could take a task. */
    static boolean couldTake(WorkerNode worker, StepSpec spec) {
        return spec.reserved().fitsIn(worker.capacity()) && hasLabel(worker, spec);
    }

    private static boolean isAtLimit(WorkerNode worker, TrackedStep step) {
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

    private static boolean hasLabel(WorkerNode worker, StepSpec spec) {
        return spec.requiredLabel().map(worker::hasLabel).orElse(true);
    }

    private static long places(Resources free, StepSpec spec) {
        Resources each = spec.reserved();
        long byCores =
                each.milliCores() == 0 ? spec.tasks() : free.milliCores() / each.milliCores();
        long byMemory = each.memoryMb() == 0 ? spec.tasks() : free.memoryMb() / each.memoryMb();
        return Math.max(0, Math.min(byCores, byMemory));
    }

    private long cost(WorkerNode worker, TrackedStep step) {
        if (step.spec().longRunning()) {
            return longCost(worker, step);
        }
        return step.spec().opportunistic() ? fillCost(worker) : batchCost(worker);
    }

    /** Tasks that take what is left go where most is left, and away from tasks that serve. */
    private long fillCost(WorkerNode worker) {
        long unclaimed = worker.unclaimedMilliCores();
        if (pacer.percent(worker) < LEAST_SHARE_PERCENT) {
            return LAST_CHOICE - unclaimed;
        }
        return worker.longRunning() > 0 ? -unclaimed / 2 : -unclaimed;
    }

    private static long batchCost(WorkerNode worker) {
        return worker.free().milliCores();
    }

    private long longCost(WorkerNode worker, TrackedStep step) {
        long sameRack = 0;
        for (WorkerNode other : pool.workers().values()) {
            if (other.rack().equals(worker.rack())) {
                sameRack += other.tasksOf(step.id());
            }
        }
        long pinned = worker.longRunning() > 0 ? 0 : 1;
        return (sameRack << 40) + (pinned << 36) + worker.free().milliCores();
    }
}
