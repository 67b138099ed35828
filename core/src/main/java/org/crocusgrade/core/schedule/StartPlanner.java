package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Decides which tasks start now, and where. */
final class StartPlanner {
    private final PoolState pool;
    private final SubmissionOrder order;
    private final Placer placer;

    StartPlanner(PoolState pool, Outlook outlook, Pacer pacer) {
        this.pool = pool;
        this.order = new SubmissionOrder(pool, outlook);
        this.placer = new Placer(pool, pacer);
    }

    List<Order> plan(long now, Instant wall) {
        List<Order> orders = new ArrayList<>();
        placer.begin();
        boolean blocked = false;
        for (TrackedSubmission submission : order.sort(pool.active(), now)) {
            if (submission.isInherited() && !pool.isSettled()) {
                continue;
            }
            for (TrackedStep step : readySteps(submission, wall)) {
                boolean placedAll = placeStep(step, now, orders);
                if (!placedAll && !blocked) {
                    blocked = placer.reserveFor(step, now);
                }
            }
        }
        return orders;
    }

    /** Returns the steps whose tasks may run and are not all done. */
    static List<TrackedStep> readySteps(TrackedSubmission submission, Instant wall) {
        List<TrackedStep> ready = new ArrayList<>();
        for (List<TrackedStep> steps : submission.occurrences()) {
            for (TrackedStep step : steps) {
                if (!step.isDone() && submission.isReady(step, wall)) {
                    ready.add(step);
                }
            }
        }
        return ready;
    }

    /** Places what can be placed; returns whether nothing is left that could start. */
    private boolean placeStep(TrackedStep step, long now, List<Order> orders) {
        List<Task> startable = step.tasks().stream().filter(t -> t.isStartable(now)).toList();
        if (startable.isEmpty()) {
            return true;
        }
        if (step.spec().reserved().milliCores() > placer.mostFree(now)) {
            return false;
        }
        placer.chooseRack(step, now);
        if (step.spec().gang()) {
            return placeGang(step, startable, now, orders);
        }
        for (Task task : startable) {
            Optional<WorkerNode> worker = placer.choose(task, now);
            if (worker.isEmpty()) {
                return false;
            }
            orders.add(place(task, worker.get(), pool.nextRun(task), now));
        }
        return true;
    }

    /** A gang starts whole or not at all, all members with one run number. */
    private boolean placeGang(
            TrackedStep step, List<Task> startable, long now, List<Order> orders) {
        if (startable.size() < step.remaining()) {
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
            placed.add(place(task, worker.get(), run, now));
        }
        orders.addAll(placed);
        return true;
    }

    private static Order place(Task task, WorkerNode worker, long run, long now) {
        Placement placement = new Placement(task, worker, run, task.checkpoint(), now);
        placement.setTicket(task.step().advice().ticket(worker, now));
        worker.add(placement);
        task.noteRun(run);
        return new Order.Start(placement);
    }

    private static void undo(List<Order> placed) {
        for (Order order : placed) {
            if (order instanceof Order.Start start) {
                start.worker().remove(start.placement());
            }
        }
    }
}
