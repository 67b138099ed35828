package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.schedule.Placement.CopyReason;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.Resources;

/**
 * Decides which slow tasks get a second run, a copy. Only steps that allow overlapping runs get
 * copies, and only with capacity that no task waits for. The first run that completes counts; the
 * other is stopped.
 */
final class CopyPlanner {
    /**
     * The largest share of the pool's processors in copies. Copies repeat work, and demand that
     * rises fast has to wait for their end. Where 3 of 100 tasks take seven times as long, they use
     * about a fifth of the time of all, and their copies less than a twentieth.
     */
    private static final double MAX_SHARE = 0.05;

    /** The largest share of the free capacity in copies, so that none start as the pool fills. */
    private static final double MAX_FREE_SHARE = 0.25;

    /**
     * How many times longer than a new run the present one must be expected to last. A smaller
     * margin starts copies of many runs that end first.
     */
    private static final double MARGIN = 1.5;

    /** The time from the order of a run until it begins, in milliseconds. */
    private static final double START_MILLIS = 100;

    /** From this multiple of its prediction on, a run is old. */
    private static final double OLD_FACTOR = 2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times;
    private final Placer placer;
    private StartLimits limits = StartLimits.NONE;

    CopyPlanner(PoolState pool, RunTimeModel times, Pacer pacer) {
        this.pool = pool;
        this.times = times;
        placer = new Placer(pool, pacer);
    }

    /** Sets the limits of what customers may have running. */
    void setLimits(StartLimits next) {
        limits = next;
    }

    /** Returns at most {@code room} start orders. To be called after all other starts. */
    List<Order> plan(long now, Instant wall, int room) {
        List<Order> orders = new ArrayList<>();
        List<Candidate> candidates = room > 0 ? candidates(now, wall) : List.of();
        if (candidates.isEmpty() || isTaskWaiting(now, wall)) {
            return orders;
        }
        placer.beginRound();
        double budget = budgetMilliCores(now);
        for (Candidate candidate : candidates) {
            Task task = candidate.task;
            long cores = task.step().spec().reserved().milliCores();
            boolean allowed =
                    limits.mayStart(task.step().submission(), task.step().spec().demand());
            if (orders.size() >= room || cores > budget || !allowed) {
                continue;
            }
            Optional<WorkerNode> worker = placer.chooseForCopy(task, now);
            if (worker.isPresent()) {
                budget -= cores;
                orders.add(start(candidate, worker.get(), now));
            }
        }
        return orders;
    }

    private Order start(Candidate candidate, WorkerNode worker, long now) {
        Task task = candidate.task;
        Placement copy = placer.place(task, worker, pool.nextRun(task), now);
        copy.setCopyReason(candidate.reason);
        return new Order.Start(copy);
    }

    /** Returns the tasks for which a copy is worthwhile; those with the most to gain first. */
    private List<Candidate> candidates(long now, Instant wall) {
        List<Candidate> candidates = new ArrayList<>();
        for (TrackedSubmission submission : pool.active()) {
            boolean mayHaveOtherRuns = submission.isInherited() && !pool.isSettled();
            if (mayHaveOtherRuns || !times.hasDistribution(submission.queue())) {
                continue;
            }
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                if (!step.allowsCopies()) {
                    continue;
                }
                for (Task task : step.tasks()) {
                    candidate(task, now).ifPresent(candidates::add);
                }
            }
        }
        candidates.sort((a, b) -> Double.compare(b.gainMillis(), a.gainMillis()));
        return candidates;
    }

    private Optional<Candidate> candidate(Task task, long now) {
        if (!task.isCopyable(now) || task.placements().get(0).phase() == Phase.STARTING) {
            return Optional.empty();
        }
        TrackedStep step = task.step();
        QueueId queue = step.submission().queue();
        double age = (now - task.placements().get(0).orderedNanos()) / NANOS_PER_MILLI;
        boolean isOld = age > OLD_FACTOR * times.predictMillis(queue, step.spec());
        if (!isOld && step.remaining() > 1) {
            return Optional.empty();
        }
        double slowdown = task.placements().get(0).worker().slowdown();
        double remaining = times.expectedRemainingMillis(queue, step.spec(), age / slowdown);
        double fresh = times.expectedRemainingMillis(queue, step.spec(), 0) + START_MILLIS;
        CopyReason reason = new CopyReason(age, remaining * slowdown, fresh);
        return reason.remainingMillis() > MARGIN * fresh
                ? Optional.of(new Candidate(task, reason))
                : Optional.empty();
    }

    /** Returns whether a task that some worker could take has not been placed in this round. */
    private boolean isTaskWaiting(long now, Instant wall) {
        for (TrackedSubmission submission : pool.active()) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                if (step.hasStartable(now) && canRunSomewhere(step)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean canRunSomewhere(TrackedStep step) {
        for (WorkerNode worker : pool.workers().values()) {
            if (Placer.couldTake(worker, step.spec()) && !Placer.isAtLimit(worker, step)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the processors that further copies may use, in thousandths of a core. */
    private double budgetMilliCores(long now) {
        Resources capacity = Resources.NONE;
        long copies = 0;
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                boolean isCopy = placement.task().hasEarlierRun(placement.run());
                copies += isCopy ? placement.task().step().spec().reserved().milliCores() : 0;
            }
            if (worker.acceptsRuns(now)) {
                capacity = capacity.plus(worker.capacity());
            }
        }
        Resources free = pool.free(now);
        double freeCores = (double) free.milliCores() / Math.max(1, capacity.milliCores());
        double freeMemory = (double) free.memoryMb() / Math.max(1, capacity.memoryMb());
        double freeShare = Math.max(0, Math.min(freeCores, freeMemory));
        double share = Math.min(MAX_SHARE, MAX_FREE_SHARE * freeShare);
        return share * capacity.milliCores() - copies;
    }

    private record Candidate(Task task, CopyReason reason) {
        double gainMillis() {
            return reason.remainingMillis() - reason.newMillis();
        }
    }
}
