package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.WorkerId;

/**
 * Starts the tasks that may crash their workers, each submission on a worker on which nothing else
 * begins until the suspects have outlived their probation.
 *
 * <p>Load: a full pool in which a few tasks crash their workers, each with the runs of twenty
 * neighbours, which become startable at one moment and would be placed together again. A suspect
 * takes the worker with the fewest runs. While that one has more than a few, it is held: no run is
 * placed there, so that it empties. One worker is emptied at a time, so suspects wait for each
 * other rather than the pool for them. The worker is also held while the run is announced in the
 * store.
 */
final class IsolationPlanner {
    /** The most runs of batch tasks that a suspect may put at risk. */
    private static final int MAX_NEIGHBOURS = 3;

    /**
     * Probation of a task whose workers crashed right after its starts, in nanoseconds: longer than
     * a run counts as just begun.
     */
    private static final long PROBATION_NANOS = Placement.EARLY_NANOS + 50_000_000L;

    /** Probation of a task whose workers crashed later, in nanoseconds. */
    private static final long LONG_PROBATION_NANOS = 5_000_000_000L;

    private final PoolState pool;
    private final CrashTracker crashes;
    private final StartPlanner starts;
    private final Placer placer;
    private final Set<WorkerNode> held = new HashSet<>();

    IsolationPlanner(PoolState pool, CrashTracker crashes, StartPlanner starts, Placer placer) {
        this.pool = pool;
        this.crashes = crashes;
        this.starts = starts;
        this.placer = placer;
    }

    /** Returns at most {@code room} start orders. To be called before all other starts. */
    List<Order> plan(long now, Instant wall, int room) {
        held.forEach(w -> w.setHeld(false));
        held.clear();
        if (crashes.suspects().isEmpty()) {
            return List.of();
        }
        placer.beginRound();
        List<Order> orders = new ArrayList<>();
        boolean emptying = false;
        for (List<Task> group : startable(now, wall)) {
            Optional<WorkerNode> chosen = placer.chooseForIsolation(group.get(0), held, now);
            if (chosen.isEmpty()) {
                continue;
            }
            WorkerNode worker = chosen.get();
            if (!hasRoom(worker, group.get(0))) {
                if (!emptying) {
                    hold(worker);
                }
                emptying = true;
            } else if (group.stream().allMatch(Task::isNextRunAnnounced)) {
                place(group, worker, now, room, orders);
            } else {
                hold(worker);
                group.forEach(this::announce);
            }
        }
        return orders;
    }

    private void hold(WorkerNode worker) {
        worker.setHeld(true);
        held.add(worker);
    }

    /** Announces the next run of a task, which starts in a later round, once that is stored. */
    private void announce(Task task) {
        if (!task.isNextRunAnnounced()) {
            crashes.announce(task, pool.nextRun(task));
        }
    }

    /**
     * Returns the suspects that may start, by step and the worker that they are bound to: the tasks
     * of one group are placed together.
     */
    private Collection<List<Task>> startable(long now, Instant wall) {
        Map<Group, List<Task>> groups = new LinkedHashMap<>();
        for (Task task : crashes.suspects()) {
            TrackedStep step = task.step();
            TrackedSubmission submission = step.submission();
            boolean mayHaveOtherRuns = submission.isInherited() && !pool.isSettled();
            boolean isReady = submission.isReady(step, wall) && !starts.isAtLimit(step);
            if (!mayHaveOtherRuns && task.isStartable(now) && isReady) {
                Group group = new Group(step, pool.openStarts().boundTo(task));
                groups.computeIfAbsent(group, g -> new ArrayList<>()).add(task);
            }
        }
        return groups.values();
    }

    private static boolean hasRoom(WorkerNode worker, Task task) {
        int neighbours = worker.placements().size() - worker.longRunning();
        return neighbours <= MAX_NEIGHBOURS && fits(worker, task);
    }

    private static boolean fits(WorkerNode worker, Task task) {
        return task.step().spec().reserved().fitsIn(worker.freeFor(task))
                && !Placer.isAtLimit(worker, task.step());
    }

    private void place(
            List<Task> group, WorkerNode worker, long now, int room, List<Order> orders) {
        for (Task task : group) {
            boolean allowed = orders.size() < room && !starts.isAtLimit(task.step());
            if (!allowed || !fits(worker, task)) {
                return;
            }
            Placement placement = placer.place(task, worker, task.announcedRun(), now);
            boolean hasLate = task.crashes().hasLate();
            worker.isolate(placement, hasLate ? LONG_PROBATION_NANOS : PROBATION_NANOS);
            orders.add(new Order.Start(placement));
        }
    }

    private record Group(TrackedStep step, Optional<WorkerId> bound) {}
}
