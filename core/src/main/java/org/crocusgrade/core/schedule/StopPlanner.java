package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.schedule.ReportProcessor.RunId;
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
            placement.requireStop(StopReason.ENDED, now);
            return;
        }
        if (mayEvacuate(placement, now)) {
            boolean draining = placement.worker().isDraining();
            placement.requireStop(draining ? StopReason.DRAINING : StopReason.EVACUATED, now);
            return;
        }
        if (isStalled(placement)) {
            placement.requireStop(StopReason.STALLED, now);
            placement.task().recordStall();
            SubmissionId submission = placement.task().step().submission().id();
            if (placement.worker().recordFailure(submission) >= QUARANTINE_STALLS) {
                placement.worker().quarantineUntil(now + QUARANTINE_NANOS);
            }
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
        double predicted = times.predictMillis(step.submission().queue(), step.spec());
        boolean mayBeRemote = step.spec().rackLocal() || step.spec().dataRack().isPresent();
        double factor = mayBeRemote ? STALL_FACTOR * REMOTE_FACTOR : STALL_FACTOR;
        double limit = (predicted * factor + STALL_SLACK_MILLIS) * (1 << placement.task().stalls());
        return times.hasEnoughRuns(step.submission().queue())
                && (worker.reportedNanos() - placement.orderedNanos()) / NANOS_PER_MILLI > limit;
    }

    /**
     * Returns whether a long-running task is to leave its worker: immediately if the worker is
     * draining; if it is evacuated, only while the step may have another unavailable task and there
     * is room for it on another worker.
     */
    private boolean mayEvacuate(Placement placement, long now) {
        TrackedStep step = placement.task().step();
        WorkerNode worker = placement.worker();
        if (!step.spec().longRunning() || !(worker.isEvacuating() || worker.isDraining())) {
            return false;
        }
        if (worker.isDraining()) {
            return true;
        }
        if (evacuationsHeld && now - evacuateFromNanos < 0) {
            return false;
        }
        int limit = Math.max(1, step.spec().maxUnavailable());
        return step.unavailableTasks() < limit && placer.choose(placement.task(), now).isPresent();
    }
}
