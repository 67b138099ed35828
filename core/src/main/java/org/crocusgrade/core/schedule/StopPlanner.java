package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.schedule.ReportIntake.RunName;

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

    private final PoolState pool;
    private final ReportIntake intake;
    private final Placer placer;
    private final Map<RunName, Long> unwantedSent = new HashMap<>();

    StopPlanner(PoolState pool, ReportIntake intake) {
        this.pool = pool;
        this.intake = intake;
        placer = new Placer(pool);
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
        }
    }

    /** A long-running task leaves only while its step can miss another, and for a free place. */
    private boolean mayEvacuate(Placement placement, long now) {
        StepRun step = placement.task().step();
        WorkerNode worker = placement.worker();
        if (!step.spec().longRunning() || !(worker.isEvacuating() || worker.isDraining())) {
            return false;
        }
        if (worker.isDraining()) {
            return true;
        }
        int limit = Math.max(1, step.spec().maxUnavailable());
        return step.away() < limit && placer.choose(placement.task(), now).isPresent();
    }
}
