package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.schedule.ReportIntake.RunName;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * Decides which runs are stopped: those of ended submissions, copies of done tasks, runs whose
 * start got no answer, runs that nobody wants, and long-running tasks on workers that are to be
 * emptied.
 */
final class StopPlanner {
    /** The pause before a stop without an answer is sent again, in nanoseconds. */
    private static final long RETRY_NANOS = 300_000_000L;

    /** How long a start may be on its way before it counts as unanswered, in nanoseconds. */
    private static final long START_PATIENCE_NANOS = 2_000_000_000L;

    /** A run that takes longer than this multiple of what was predicted stands still. */
    private static final double STALL_FACTOR = 3.0;

    /** How much longer a run may take away from its data or its step's rack. */
    private static final double REMOTE_FACTOR = 3.0;

    /** What a run may take besides, for its start and a rough prediction, in milliseconds. */
    private static final double STALL_SLACK_MILLIS = 1500;

    /** How long a long-running task may take to come to work, in nanoseconds. */
    private static final long SETTLE_NANOS = 2_500_000_000L;

    /** Submissions whose runs stand still or fail in a row after which a worker is quarantined. */
    private static final int QUARANTINE_STALLS = 2;

    /** How long such a worker is quarantined, in nanoseconds. */
    private static final long QUARANTINE_NANOS = 4_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times;
    private final ReportIntake intake;
    private final Placer placer;
    private final Map<RunName, Long> unwantedSent = new HashMap<>();
    private boolean evacuationsHeld;
    private long evacuateFromNanos;

    StopPlanner(PoolState pool, ReportIntake intake, RunTimeModel times, Pacer pacer) {
        this.pool = pool;
        this.times = times;
        this.intake = intake;
        placer = new Placer(pool, pacer);
    }

    /**
     * Moves no long-running task before a time. A run that the former owner has told to stop is
     * still listed as at work until it has stopped.
     */
    void holdEvacuationsUntil(long nanos) {
        evacuationsHeld = true;
        evacuateFromNanos = nanos;
    }

    List<Order> plan(long now) {
        List<Order> orders = new ArrayList<>();
        unwantedSent.values().removeIf(sent -> now - sent >= RETRY_NANOS);
        for (WorkerNode worker : pool.workers().values()) {
            for (RunName run : intake.unwanted(worker)) {
                if (unwantedSent.putIfAbsent(run, now) == null) {
                    orders.add(new Order.Stop(worker, run.task(), run.run(), Optional.empty()));
                }
            }
            for (Placement placement : worker.placements()) {
                judge(placement, now);
                if (needsStop(placement) && placement.isStopDue(now, RETRY_NANOS)) {
                    placement.stopSent(now);
                    orders.add(
                            new Order.Stop(
                                    worker,
                                    placement.task().id(),
                                    placement.run(),
                                    Optional.of(placement)));
                }
            }
        }
        return orders;
    }

    private static boolean needsStop(Placement placement) {
        return placement.phase() == Phase.UNCERTAIN || placement.phase() == Phase.STOPPING;
    }

    private void judge(Placement placement, long now) {
        if (placement.phase() == Phase.STARTING) {
            if (now - placement.orderedNanos() > START_PATIENCE_NANOS) {
                placement.enter(Phase.UNCERTAIN, now);
            }
            return;
        }
        if (placement.phase() != Phase.RUNNING) {
            return;
        }
        Task task = placement.task();
        boolean ended = task.isDone() || task.step().submission().outcome().isFinal();
        if (ended || mayEvacuate(placement, now)) {
            placement.enter(Phase.STOPPING, now);
            return;
        }
        if (isStalled(placement, now)) {
            placement.enter(Phase.STOPPING, now);
            placement.task().noteStall();
            SubmissionId submission = placement.task().step().submission().id();
            if (placement.worker().noteFailure(submission) >= QUARANTINE_STALLS) {
                placement.worker().quarantineUntil(now + QUARANTINE_NANOS);
            }
        }
    }

    private boolean isStalled(Placement placement, long now) {
        TrackedStep step = placement.task().step();
        if (placement.worker().isSilent() || !placement.isListed()) {
            return false;
        }
        if (step.spec().longRunning()) {
            return !placement.isAtWork()
                    && now - placement.orderedNanos() > SETTLE_NANOS
                    && now - placement.percentNanos() > SETTLE_NANOS;
        }
        if (step.spec().opportunistic()) {
            return false;
        }
        double predicted = times.predictMillis(step.submission().queue(), step.spec());
        boolean mayBeRemote = step.spec().rackLocal() || step.spec().dataRack().isPresent();
        double factor = mayBeRemote ? STALL_FACTOR * REMOTE_FACTOR : STALL_FACTOR;
        double limit = (predicted * factor + STALL_SLACK_MILLIS) * (1 << placement.task().stalls());
        return times.isLearned(step.submission().queue())
                && (now - placement.orderedNanos()) / NANOS_PER_MILLI > limit;
    }

    /** A long-running task leaves only while its step can miss another, and for a free place. */
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
        return step.away() < limit && placer.choose(placement.task(), now).isPresent();
    }
}
