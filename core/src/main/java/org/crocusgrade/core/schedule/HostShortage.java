package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.StepSpec;

/**
 * The hosts that a pool needs beside its present ones, because no worker has room for a task.
 *
 * <p>Load: a step with a limit of tasks per worker, or with tasks of which a worker holds only one
 * or two, loses a worker. The sums of the pool's processors and memory still suffice, so they show
 * no need for another host, but the task has nowhere to run.
 *
 * <p>Long-running tasks count as soon as no worker has room now, since those beside them never end.
 * Tasks of batch submissions count only if no worker could take them even without other batch
 * tasks, and together for one host: they can run there one after another. The members of a gang run
 * at the same time, so each that has no place then counts. Tasks on evacuating workers count as far
 * as the step may have tasks unavailable, since they stay where they are until there is room
 * elsewhere.
 *
 * <p>Worked case: a step of 24 long-running tasks, at most one per worker, has 23 running on 23
 * workers that use a third of their processors. It lacks one host, whatever is free on the 23.
 *
 * @param hosts the number of hosts that the pool lacks
 * @param tasks the number of tasks without room
 * @param step the first of their steps; empty if there is none
 */
public record HostShortage(int hosts, int tasks, Optional<StepId> step) {
    public static final HostShortage NONE = new HostShortage(0, 0, Optional.empty());

    /** Stands for a host of which nothing is known, with room for any number of tasks. */
    private static final Resources UNKNOWN_CAPACITY =
            new Resources(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, Integer.MAX_VALUE / 2);

    /** Checks the fields. */
    public HostShortage {
        if (hosts < 0 || tasks < 0) {
            throw new IllegalArgumentException("negative: " + hosts + " hosts, " + tasks);
        }
    }

    /**
     * Returns the shortage of a pool; none before it is settled, since a task may still be running
     * somewhere until then.
     */
    static HostShortage of(PoolState pool, StartPlanner starts, long now, Instant wall) {
        if (!pool.isSettled()) {
            return NONE;
        }
        Count count = new Count(pool, now);
        for (TrackedSubmission submission : pool.active()) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                StepSpec spec = step.spec();
                if (spec.opportunistic()) {
                    continue;
                }
                if (spec.gang()) {
                    count.addGang(step, starts.isAtLimit(step));
                } else if (spec.longRunning()) {
                    count.addLongRunning(step, starts.startableWithinLimit(step, now));
                } else if (!count.hasBatch() && !starts.isAtLimit(step)) {
                    count.addBatch(step);
                }
            }
        }
        return count.result();
    }

    /** Places the tasks without room on hosts that the pool would get. */
    private static final class Count {
        private final PoolState pool;
        private final long now;
        private final List<AddedHost> added = new ArrayList<>();
        private final List<Room> roomForBatch = new ArrayList<>();
        private boolean batch;
        private int tasks;
        private Optional<StepId> first = Optional.empty();

        Count(PoolState pool, long now) {
            this.pool = pool;
            this.now = now;
        }

        HostShortage result() {
            return tasks == 0 ? NONE : new HostShortage(added.size(), tasks, first);
        }

        void addLongRunning(TrackedStep step, int startable) {
            int waiting = withoutClaim(step, startable) + evacuable(step);
            if (waiting == 0) {
                return;
            }
            long room = 0;
            for (WorkerNode worker : pool.workers().values()) {
                if (worker.acceptsRuns(now) && Placer.hasLabel(worker, step.spec())) {
                    room += Math.max(0, Placer.places(worker, step));
                }
                if (room >= waiting) {
                    return;
                }
            }
            add(step, waiting - (int) room);
        }

        boolean hasBatch() {
            return batch;
        }

        /** Adds one task of a batch step that fits beside the long-running tasks of no worker. */
        void addBatch(TrackedStep step) {
            if (!step.hasStartable(now)) {
                return;
            }
            if (roomForBatch.isEmpty()) {
                measureRoomForBatch();
            }
            StepSpec spec = step.spec();
            for (Room room : roomForBatch) {
                if (spec.reserved().fitsIn(room.free) && Placer.hasLabel(room.worker, spec)) {
                    return;
                }
            }
            batch = add(step, 1);
        }

        /** Adds the members of a gang that has too few places, even without other batch tasks. */
        void addGang(TrackedStep step, boolean atLimit) {
            int members = step.remaining();
            if (atLimit || members == 0 || step.startable(now) < members) {
                return;
            }
            if (roomForBatch.isEmpty()) {
                measureRoomForBatch();
            }
            long places = 0;
            for (Room room : roomForBatch) {
                if (Placer.hasLabel(room.worker, step.spec())) {
                    places += Placer.places(room.free, step.spec());
                }
                if (places >= members) {
                    return;
                }
            }
            add(step, members - (int) places);
        }

        private void measureRoomForBatch() {
            for (WorkerNode worker : pool.workers().values()) {
                if (!worker.isDraining() && !worker.isEvacuating()) {
                    Resources free = worker.capacity().minus(worker.longRunningReserved());
                    roomForBatch.add(new Room(worker, free));
                }
            }
        }

        /**
         * Returns how many tasks need room that no worker keeps for them: startable ones, and those
         * that are being stopped on a worker that takes no runs.
         */
        private int withoutClaim(TrackedStep step, int startable) {
            int kept = 0;
            int stopping = 0;
            for (Task task : step.tasks()) {
                boolean claimed = pool.claimOf(task, now).isPresent();
                if (task.isStartable(now)) {
                    kept += claimed ? 1 : 0;
                    continue;
                }
                boolean leaves =
                        task.placements().stream()
                                .anyMatch(
                                        p ->
                                                p.phase() == Phase.STOPPING
                                                        && !p.worker().acceptsRuns(now));
                stopping += leaves && !claimed && !task.isOver() ? 1 : 0;
            }
            return Math.max(0, startable - kept) + stopping;
        }

        /** Returns how many tasks may leave evacuating workers as soon as they have room. */
        private int evacuable(TrackedStep step) {
            int leaving = 0;
            for (Task task : step.tasks()) {
                for (Placement placement : task.placements()) {
                    boolean runs = placement.phase() == Phase.RUNNING;
                    leaving += runs && placement.worker().isEvacuating() ? 1 : 0;
                }
            }
            if (leaving == 0) {
                return 0;
            }
            int allowed = Math.max(1, step.spec().maxUnavailable()) - step.unavailableTasks();
            return Math.max(0, Math.min(leaving, allowed));
        }

        /** Returns whether other hosts would help the tasks, which are then counted. */
        private boolean add(TrackedStep step, int lacking) {
            Optional<Resources> capacity = hostCapacity(step.spec());
            if (capacity.isEmpty()) {
                return false;
            }
            tasks += lacking;
            first = first.or(() -> Optional.of(step.id()));
            int host = 0;
            int left = lacking;
            while (left > 0) {
                if (host == added.size()) {
                    added.add(new AddedHost(capacity.get()));
                }
                if (added.get(host).take(step)) {
                    left--;
                } else {
                    host++;
                }
            }
            return true;
        }

        /**
         * Returns the capacity to expect of another host; empty if fewer than half of the workers
         * could take a task of the step. Without that bound, a pool would collect hosts that are of
         * no use to the step. A pool without workers gets one to learn from.
         */
        private Optional<Resources> hostCapacity(StepSpec spec) {
            if (pool.workers().isEmpty()) {
                return added.isEmpty() ? Optional.of(UNKNOWN_CAPACITY) : Optional.empty();
            }
            Optional<Resources> capacity = Optional.empty();
            int suitable = 0;
            for (WorkerNode worker : pool.workers().values()) {
                if (Placer.couldTake(worker, spec)) {
                    suitable++;
                    capacity = capacity.or(() -> Optional.of(worker.capacity()));
                }
            }
            return 2 * suitable < pool.workers().size() ? Optional.empty() : capacity;
        }
    }

    /** What a worker has beside its long-running tasks. */
    private record Room(WorkerNode worker, Resources free) {}

    /** A host that the pool does not have yet, and the tasks that it would take. */
    private static final class AddedHost {
        private Resources free;
        private Optional<StepId> step = Optional.empty();
        private int tasksOfStep;

        AddedHost(Resources capacity) {
            free = capacity;
        }

        /** Takes a task if there is room; tasks of one step must be taken one after another. */
        boolean take(TrackedStep next) {
            StepSpec spec = next.spec();
            if (!step.equals(Optional.of(next.id()))) {
                step = Optional.of(next.id());
                tasksOfStep = 0;
            }
            boolean atLimit = spec.maxPerWorker() > 0 && tasksOfStep >= spec.maxPerWorker();
            if (atLimit || !spec.reserved().fitsIn(free)) {
                return false;
            }
            free = free.minus(spec.reserved());
            tasksOfStep++;
            return true;
        }
    }
}
