package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.RunId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * Decides which runs are stopped: those of ended submissions and of done tasks, runs whose start
 * order got no answer, stalled runs, reported runs that are unwanted (see {@link
 * ReportProcessor#unwanted}), and long-running tasks on workers that are drained or evacuated.
 */
final class StopPlanner {
    /** The delay before a stop order that got no answer is sent again, in nanoseconds. */
    private static final long RETRY_NANOS = 300_000_000L;

    /** After this time without an answer, a start order counts as unanswered, in nanoseconds. */
    private static final long START_TIMEOUT_NANOS = 2_000_000_000L;

    /** A run that takes longer than this multiple of its predicted time is considered stalled. */
    private static final double STALL_FACTOR = 3.0;

    /**
     * How much longer a run may take if its step depends on a rack, as the run may be on another
     * one.
     */
    private static final double REMOTE_FACTOR = 3.0;

    /**
     * Added to the time that a run may take, for its start and for a rough prediction, in
     * milliseconds.
     */
    private static final double STALL_SLACK_MILLIS = 1500;

    /**
     * The chance below which the ages of all runs of a worker show that it stands still. With 250
     * workers and a few thousand independent looks at each in a day, a sound one is rarely
     * misjudged.
     */
    private static final double STANDSTILL_CHANCE = 1e-5;

    /**
     * How long a run that uses no processors must have done so to count as idle, in nanoseconds.
     * Several reports, each of which covers the last half second.
     */
    private static final long IDLE_NANOS = 2_000_000_000L;

    /**
     * How long a worker keeps room for a task that is being stopped elsewhere, in nanoseconds: two
     * stop orders without an answer, and the report of the end.
     */
    private static final long CLAIM_NANOS = 2_000_000_000L;

    /** How long a long-running task may take to reach its full share, in nanoseconds. */
    private static final long SETTLE_NANOS = 2_500_000_000L;

    /**
     * A worker is quarantined when runs of this many submissions have stalled or failed without a
     * success in between.
     */
    private static final int QUARANTINE_STALLS = 2;

    /** How long such a worker is quarantined, in nanoseconds. */
    private static final long QUARANTINE_NANOS = 4_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times;
    private final ReportProcessor reports;
    private final Placer placer;
    private final Map<RunId, Long> unwantedStopNanos = new HashMap<>();
    private boolean evacuationsHeld;
    private long evacuateFromNanos;

    StopPlanner(PoolState pool, ReportProcessor reports, RunTimeModel times, Pacer pacer) {
        this.pool = pool;
        this.times = times;
        this.reports = reports;
        placer = new Placer(pool, pacer);
    }

    /**
     * Keeps long-running tasks on evacuating workers until a time. A run that the former owner has
     * ordered to stop is still reported at its full share until it has stopped, so too few tasks
     * would count as unavailable.
     */
    void holdEvacuationsUntil(long nanos) {
        evacuationsHeld = true;
        evacuateFromNanos = nanos;
    }

    /** Returns at most {@code room} stop orders; the others stay due. */
    List<Order> plan(long now, int room) {
        List<Order> orders = new ArrayList<>();
        unwantedStopNanos.values().removeIf(sent -> now - sent >= RETRY_NANOS);
        pool.workers().values().forEach(w -> w.claims().expire(now));
        for (WorkerNode worker : pool.workers().values()) {
            for (RunId run : reports.unwanted(worker)) {
                if (orders.size() < room && unwantedStopNanos.putIfAbsent(run, now) == null) {
                    orders.add(
                            new Order.Stop(
                                    worker,
                                    run.task(),
                                    run.run(),
                                    Optional.empty(),
                                    StopReason.UNWANTED));
                }
            }
            for (Placement placement : worker.placements()) {
                updatePhase(placement, now);
                boolean due = placement.needsStop() && placement.isStopDue(now, RETRY_NANOS);
                if (due && orders.size() < room) {
                    placement.stopSent(now);
                    orders.add(
                            new Order.Stop(
                                    worker,
                                    placement.task().id(),
                                    placement.run(),
                                    Optional.of(placement),
                                    placement.stopReason()));
                }
            }
        }
        return orders;
    }

    private void updatePhase(Placement placement, long now) {
        if (placement.phase() == Phase.STARTING) {
            if (now - placement.orderedNanos() > START_TIMEOUT_NANOS) {
                placement.setUncertain(now);
            }
            return;
        }
        if (placement.phase() != Phase.RUNNING) {
            return;
        }
        if (placement.task().isOver()) {
            Task task = placement.task();
            boolean otherRunDone = task.isDone() && task.step().allowsCopies();
            placement.requireStop(otherRunDone ? StopReason.OTHER_RUN_DONE : StopReason.ENDED, now);
            return;
        }
        if (mayLeave(placement, now)) {
            Task task = placement.task();
            boolean draining = placement.worker().isDraining();
            Optional<WorkerNode> next = placer.choose(task, now);
            if (draining || next.isPresent()) {
                placement.requireStop(draining ? StopReason.DRAINING : StopReason.EVACUATED, now);
                next.ifPresent(w -> task.claim(w, now + CLAIM_NANOS));
                return;
            }
        }
        if (isStalled(placement)) {
            stopStalled(placement, now);
        }
    }

    private void stopStalled(Placement placement, long now) {
        WorkerNode worker = placement.worker();
        TrackedStep step = placement.task().step();
        SubmissionId submission = step.submission().id();
        boolean standsStill = isWithoutAnyProgress(worker);
        placement.requireStop(StopReason.STALLED, now);
        placement.task().recordStall();
        double millis = (worker.reportedNanos() - placement.orderedNanos()) / NANOS_PER_MILLI;
        if (!step.spec().longRunning()) {
            // A worker that stands still would stretch the limit for all.
            worker.addStall(() -> times.addStopped(step.submission().queue(), step.spec(), millis));
        }
        if (worker.recordFailure(submission, QUARANTINE_STALLS) || standsStill) {
            worker.quarantineUntil(now + QUARANTINE_NANOS);
        }
    }

    /**
     * Returns whether the worker's reports show that a run makes no progress. The time since the
     * last report does not count: the owner may be late to read the next one.
     */
    private boolean isStalled(Placement placement) {
        TrackedStep step = placement.task().step();
        WorkerNode worker = placement.worker();
        if (worker.isSilent() || !placement.isListed()) {
            return false;
        }
        if (step.spec().longRunning()) {
            return !placement.isAtFullShare()
                    && worker.reportRequestedNanos() - placement.percentNanos() > SETTLE_NANOS;
        }
        if (step.spec().opportunistic()) {
            return false;
        }
        QueueId queue = step.submission().queue();
        double scale = remoteFactor(step.spec());
        double predicted = times.predictMillis(queue, step.spec());
        double allowance = 1 << placement.task().stalls();
        double least = (predicted * STALL_FACTOR * scale + STALL_SLACK_MILLIS) * allowance;
        // A run that saves progress works, so its time counts from its last checkpoint.
        double age = (worker.reportedNanos() - placement.progressNanos()) / NANOS_PER_MILLI;
        if (!times.hasEnoughRuns(queue) || age <= least) {
            return false;
        }
        double longest = times.longestMillis(queue, step.spec()).orElse(0) * scale * allowance;
        return age > longest || isIdle(placement, queue) || isWithoutAnyProgress(worker);
    }

    /** Returns whether a run uses no processors, although reports show those of other runs. */
    private boolean isIdle(Placement placement, QueueId queue) {
        return times.areLoadsReported(queue)
                && placement.worker().reportedNanos() - placement.loadNanos() > IDLE_NANOS;
    }

    /**
     * Returns whether a worker stands still: it is nearly impossible that runs of so many
     * submissions last so long since the last end there. Tasks of one submission may all be slow
     * for one reason, so only the most telling run of each submission counts.
     */
    private boolean isWithoutAnyProgress(WorkerNode worker) {
        Map<SubmissionId, Double> chances = new HashMap<>();
        for (Placement placement : worker.placements()) {
            boolean stalled =
                    placement.phase() == Phase.STOPPING
                            && placement.stopReason() == StopReason.STALLED;
            StepSpec spec = placement.task().step().spec();
            if (!placement.isListed() || spec.longRunning() || spec.opportunistic()) {
                continue;
            }
            if (stalled || placement.phase() == Phase.RUNNING) {
                SubmissionId submission = placement.task().step().submission().id();
                chances.merge(submission, chanceToLast(placement), Math::min);
            }
        }
        double product = 1;
        for (double chance : chances.values()) {
            product *= chance;
        }
        return chances.size() >= QUARANTINE_STALLS && product < STANDSTILL_CHANCE;
    }

    /** Returns the chance that a sound run that was active at its worker's last end still is. */
    private double chanceToLast(Placement placement) {
        TrackedStep step = placement.task().step();
        QueueId queue = step.submission().queue();
        WorkerNode worker = placement.worker();
        double scale = NANOS_PER_MILLI * remoteFactor(step.spec());
        long since = placement.progressNanos();
        double chance =
                times.survival(queue, step.spec(), (worker.reportedNanos() - since) / scale);
        if (worker.lastResultNanos() == Long.MIN_VALUE || worker.lastResultNanos() - since <= 0) {
            return chance;
        }
        double then = (worker.lastResultNanos() - since) / scale;
        return Math.min(1, chance / times.survival(queue, step.spec(), then));
    }

    private static double remoteFactor(StepSpec spec) {
        boolean mayBeRemote = spec.rackLocal() || spec.dataRack().isPresent();
        return mayBeRemote ? REMOTE_FACTOR : 1;
    }

    /**
     * Returns whether a long-running task may leave its worker, unless it is bound to it:
     * immediately if the worker is draining; if it is evacuated, only while the step may have
     * another unavailable task. It then leaves as soon as there is room for it on another worker.
     */
    private boolean mayLeave(Placement placement, long now) {
        TrackedStep step = placement.task().step();
        WorkerNode worker = placement.worker();
        if (!step.spec().longRunning() || !(worker.isEvacuating() || worker.isDraining())) {
            return false;
        }
        if (pool.openStarts().boundTo(placement.task()).isPresent()) {
            return false;
        }
        if (worker.isDraining()) {
            return true;
        }
        if (evacuationsHeld && now - evacuateFromNanos < 0) {
            return false;
        }
        int limit = Math.max(1, step.spec().maxUnavailable());
        return step.unavailableTasks() < limit;
    }
}
