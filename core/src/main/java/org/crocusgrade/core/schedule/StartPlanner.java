package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.submission.Resources;

/**
 * Decides which tasks start now, and on which workers. If a step cannot be placed in full, a worker
 * is reserved for the first such step that one could take, so that submissions of lower rank do not
 * use up all capacity that becomes free. Steps whose customer is at its limit are passed over, and
 * nothing is reserved for them.
 */
final class StartPlanner {
    private final PoolState pool;
    private final StartOrder order;
    private final Placer placer;
    private StartLimits limits = StartLimits.NONE;

    StartPlanner(PoolState pool, StartOrder order, Pacer pacer) {
        this.pool = pool;
        this.order = order;
        this.placer = new Placer(pool, pacer);
    }

    void setLimits(StartLimits next) {
        limits = next;
    }

    /** Returns whether the limit of a step's customer keeps the step's next tasks from starting. */
    boolean isAtLimit(TrackedStep step) {
        return !limits.mayStart(step.submission(), leastDemand(step));
    }

    /** Returns how many tasks of a step may start, as far as the limit of its customer allows. */
    int startableWithinLimit(TrackedStep step, long now) {
        int tasks = step.startable(now);
        while (tasks > 0
                && !limits.mayStart(step.submission(), step.spec().demand().times(tasks))) {
            tasks--;
        }
        return tasks;
    }

    /** Returns the demand of one task, or of all tasks of a gang, which start together. */
    private static Resources leastDemand(TrackedStep step) {
        Resources each = step.spec().demand();
        return step.spec().gang() ? each.times(step.remaining()) : each;
    }

    /**
     * Returns the start orders to send now: at most {@code room}, but a gang is started as a whole.
     */
    List<Order> plan(long now, Instant wall, int room) {
        List<Order> orders = new ArrayList<>();
        if (room <= 0) {
            return orders;
        }
        placer.beginRound();
        Candidates candidates = candidates(now, wall);
        if (placer.maxFreeMilliCores(now) < candidates.leastMilliCores) {
            return orders;
        }
        boolean blocked = false;
        for (TrackedSubmission submission : order.sort(candidates.submissions, now)) {
            if (blocked && placer.maxFreeMilliCores(now) < candidates.leastMilliCores) {
                return orders;
            }
            if (submission.isInherited() && !pool.isSettled()) {
                continue;
            }
            for (TrackedStep step : readySteps(submission, wall)) {
                boolean placedAll = placeStep(step, now, orders, room);
                if (orders.size() >= room) {
                    return orders;
                }
                if (!placedAll && !blocked) {
                    blocked = placer.reserveFor(step, now);
                }
            }
        }
        return orders;
    }

    /**
     * Returns the submissions that have a startable task within the limit of their customer, and
     * how few processors such a task needs.
     */
    private Candidates candidates(long now, Instant wall) {
        List<TrackedSubmission> submissions = new ArrayList<>();
        long leastMilliCores = Long.MAX_VALUE;
        for (TrackedSubmission submission : pool.active()) {
            boolean startable = false;
            for (TrackedStep step : readySteps(submission, wall)) {
                if (!isAtLimit(step) && step.hasStartable(now)) {
                    startable = true;
                    leastMilliCores =
                            Math.min(leastMilliCores, step.spec().reserved().milliCores());
                }
            }
            if (startable) {
                submissions.add(submission);
            }
        }
        return new Candidates(submissions, leastMilliCores);
    }

    /**
     * Returns the steps that are due, whose predecessors are done, and that are not all done
     * themselves.
     */
    static List<TrackedStep> readySteps(TrackedSubmission submission, Instant wall) {
        List<TrackedStep> ready = new ArrayList<>(1);
        for (List<TrackedStep> steps : submission.openOccurrences()) {
            for (TrackedStep step : steps) {
                if (!step.isDone() && submission.isReady(step, wall)) {
                    ready.add(step);
                }
            }
        }
        return ready;
    }

    /**
     * Places as many startable tasks as possible, until there are {@code room} orders; returns
     * whether none is left over for lack of capacity.
     */
    private boolean placeStep(TrackedStep step, long now, List<Order> orders, int room) {
        if (isAtLimit(step) || !step.hasStartable(now)) {
            return true;
        }
        if (step.spec().reserved().milliCores() > placer.maxFreeMilliCores(now)) {
            return false;
        }
        List<Task> startable =
                step.tasks().stream()
                        .filter(t -> t.isStartable(now) && !t.needsIsolation())
                        .toList();
        placer.chooseRack(step, now);
        if (step.spec().gang()) {
            return placeGang(step, startable, now, orders);
        }
        boolean placedAll = true;
        for (Task task : startable) {
            if (orders.size() >= room) {
                return false;
            }
            if (isAtLimit(step)) {
                return placedAll;
            }
            Optional<WorkerNode> worker = placer.choose(task, now);
            if (worker.isEmpty() && placer.isBound(task)) {
                placedAll = false;
                continue;
            }
            if (worker.isEmpty()) {
                return false;
            }
            Placement placed = placer.place(task, worker.get(), pool.nextRun(task), now);
            orders.add(new Order.Start(placed));
        }
        return placedAll;
    }

    /**
     * Places all members of a gang with the same run number, or none of them. While a member is
     * bound to a worker that accepts no runs, nothing is kept free for the others.
     */
    private boolean placeGang(
            TrackedStep step, List<Task> startable, long now, List<Order> orders) {
        if (startable.size() < step.remaining()
                || startable.stream().anyMatch(t -> placer.isBoundToUnusable(t, now))) {
            return true;
        }
        long run = 0;
        String checkpoint = "";
        for (Task task : step.tasks()) {
            run = Math.max(run, pool.nextRun(task));
            checkpoint = checkpoint.isEmpty() ? task.checkpoint() : checkpoint;
        }
        List<Order> placed = new ArrayList<>();
        for (Task task : startable) {
            Optional<WorkerNode> worker = placer.choose(task, now);
            if (worker.isEmpty()) {
                undo(placed);
                return false;
            }
            task.setCheckpoint(checkpoint);
            placed.add(new Order.Start(placer.place(task, worker.get(), run, now)));
        }
        orders.addAll(placed);
        return true;
    }

    private void undo(List<Order> placed) {
        for (Order order : placed) {
            if (order instanceof Order.Start start) {
                start.worker().remove(start.placement());
            }
        }
        placer.onPlacementsChanged();
    }

    /**
     * What may start in a planning round. Most rounds of a full pool end with a glance at it, so
     * that a long queue costs little.
     *
     * @param submissions those with a startable task
     * @param leastMilliCores the fewest processors that such a task reserves
     */
    private record Candidates(List<TrackedSubmission> submissions, long leastMilliCores) {}
}
