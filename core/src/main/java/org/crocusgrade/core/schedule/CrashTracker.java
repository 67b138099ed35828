package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.schedule.CrashHistory.Crash;
import org.crocusgrade.core.schedule.CrashHistory.Kind;

/**
 * Finds the tasks that crash the workers that start them.
 *
 * <p>A crash does not tell which of a worker's runs has caused it, if any. A task that crashes
 * workers does so soon after its start, so the tasks whose runs had just begun are suspects; for
 * the others the crash only counts. A suspect runs next in isolation (see {@link
 * IsolationPlanner}): until it has outlived its probation, nothing else begins on its worker. If
 * that worker crashes as well, no other submission can be the cause. A task is given up after two
 * such crashes; {@link CrashHistory} has the limits for others.
 *
 * <p>An innocent task is given up only if other causes crash two of its workers, each within the
 * short time after a start in which nothing else began there. A crash in bulk also hits workers on
 * which nothing has just begun; crashes beside such ones make no task their only possible cause.
 *
 * <p>For example, six tasks of submission A and one of B start on a worker that has ten older runs,
 * and B's task crashes it after 10 ms. All seven are suspects; the ten have one crash, and run on
 * like others. The six of A then start on a nearly empty worker, and nothing else does for 300 ms.
 * B's task is next, crashes its worker, and again the next one. It is given up after three crashes,
 * of which the last two cost no run of a neighbour that had just begun.
 *
 * <p>The connection to a worker is lost at its crash, seconds before it is certain that its
 * incarnation has ended. The crash is counted, and stored, at that moment, so that a new owner
 * knows of it; it is withdrawn if the same incarnation answers again. An isolated run is announced
 * in the store before it starts: a new owner counts it as a crash unless a worker lists it, since
 * the last owner may have ended before it could store the crash. A worker that falls silent with
 * its connection open is cut off or frozen, which is not counted, and neither is the end of a
 * worker that is being emptied.
 */
final class CrashTracker {
    /** Crashes within this time of each other may have one cause, in nanoseconds. */
    private static final long SIMULTANEOUS_NANOS = 500_000_000L;

    /** How long crashes are kept for comparison with others, in nanoseconds. */
    private static final long RECENT_NANOS = 2 * SIMULTANEOUS_NANOS;

    private final PoolState pool;
    private final Map<WorkerNode, Loss> losses = new HashMap<>();
    private final List<Loss> recent = new ArrayList<>();
    private final Set<Task> suspects = new LinkedHashSet<>();
    private final List<Task> exhausted = new ArrayList<>();
    private final List<Notice> notices = new ArrayList<>();

    CrashTracker(PoolState pool) {
        this.pool = pool;
    }

    /** Adds a submission with the crashes that an earlier owner has stored. */
    void add(TrackedSubmission submission) {
        for (List<TrackedStep> steps : submission.openOccurrences()) {
            for (TrackedStep step : steps) {
                step.tasks().stream().filter(t -> !t.crashes().isEmpty()).forEach(this::classify);
            }
        }
    }

    /** Records that a worker has closed or refused a connection, as it does when it crashes. */
    void onConnectionLost(WorkerNode worker, long now) {
        if (worker.isDraining() || worker.isEvacuating() || losses.containsKey(worker)) {
            return;
        }
        List<Placement> runs = new ArrayList<>();
        List<Placement> early = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            if (placement.task().isOver() || placement.isProvenHarmless(now)) {
                continue;
            }
            runs.add(placement);
            if (placement.isEarly(now)) {
                early.add(placement);
            }
        }
        if (runs.isEmpty()) {
            return;
        }
        List<Placement> causes = early.isEmpty() ? worker.isolatedRuns(now) : early;
        Loss loss = new Loss(now, runs, causes);
        losses.put(worker, loss);
        recent.add(loss);
        notices.add(new Notice.WorkerCrashed(worker.id(), runs.size(), early.size()));
        runs.forEach(p -> count(p, early.contains(p)));
    }

    private void count(Placement placement, boolean early) {
        Task task = placement.task();
        Kind kind = early ? Kind.EARLY : Kind.LATE;
        if (!task.crashes().add(new Crash(placement.run(), kind))) {
            return;
        }
        changed(task);
        if (task.crashes().isSuspect()) {
            notices.add(
                    new Notice.CrashCounted(
                            task.id(),
                            placement.run(),
                            placement.worker().id(),
                            early,
                            task.crashes().size()));
        }
    }

    /** Withdraws the crash of a worker, which has answered. */
    void onAnswer(WorkerNode worker) {
        Loss loss = losses.remove(worker);
        if (loss == null) {
            return;
        }
        recent.remove(loss);
        loss.runs.forEach(p -> withdraw(p.task(), p.run()));
        notices.add(new Notice.CrashWithdrawn(worker.id(), loss.runs.size()));
    }

    /** Withdraws the crash of the worker of a run, which a worker lists. */
    void withdraw(Task task, long run) {
        if (task.crashes().remove(run)) {
            changed(task);
        }
    }

    /** Records that a run has ended without a crash, or has never begun. */
    void onRunOver(Task task, long run) {
        boolean counted = task.crashes().remove(run);
        if (task.clearAnnouncement(run) || counted) {
            changed(task);
        }
    }

    /** Announces the next run of a suspect, so that a new owner knows that it may have begun. */
    void announce(Task task, long run) {
        task.announce(run);
        changed(task);
    }

    /** Clears the task of suspicion: its run has worked for long. */
    void acquit(Task task) {
        if (!task.crashes().isEmpty()) {
            task.crashes().clear();
            changed(task);
        }
    }

    /** Records that the incarnation of a worker has certainly ended. */
    void onEnded(WorkerNode worker) {
        losses.remove(worker);
    }

    /** Decides which tasks were the only possible causes of crashes. */
    void update(long now) {
        for (Loss loss : recent) {
            if (!loss.judged && now - loss.nanos >= SIMULTANEOUS_NANOS) {
                loss.judged = true;
                judge(loss);
            }
        }
        recent.removeIf(l -> now - l.nanos > RECENT_NANOS);
    }

    private void judge(Loss loss) {
        Set<TrackedSubmission> causes = new LinkedHashSet<>();
        loss.causes.forEach(p -> causes.add(p.task().step().submission()));
        if (causes.size() != 1 || hasOtherCause(loss)) {
            return;
        }
        for (Placement placement : loss.causes) {
            Task task = placement.task();
            if (!task.isOver() && task.crashes().contains(placement.run())) {
                task.crashes().put(new Crash(placement.run(), Kind.SOLE));
                changed(task);
                notices.add(attribution(placement));
            }
        }
    }

    private static Notice attribution(Placement placement) {
        CrashHistory crashes = placement.task().crashes();
        return new Notice.CrashAttributed(
                placement.task().id(),
                placement.run(),
                placement.worker().id(),
                crashes.size(),
                crashes.sole());
    }

    /** Returns whether a worker crashed at the same time although no run there can be the cause. */
    private boolean hasOtherCause(Loss loss) {
        for (Loss other : recent) {
            boolean simultaneous = Math.abs(other.nanos - loss.nanos) <= SIMULTANEOUS_NANOS;
            if (simultaneous && other.causes.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private void changed(Task task) {
        task.step().submission().markChanged();
        task.setCrashesChanged();
        pool.markDirty(task.step().submission());
        classify(task);
    }

    private void classify(Task task) {
        if (task.needsIsolation()) {
            suspects.add(task);
        } else {
            suspects.remove(task);
        }
        if (task.isExhausted()) {
            exhausted.add(task);
        }
    }

    /** Returns the tasks that need isolation, in the order in which they became suspects. */
    Set<Task> suspects() {
        suspects.removeIf(Task::isOver);
        return suspects;
    }

    /** Returns the tasks that have reached a limit of crashes since the last call. */
    List<Task> takeExhausted() {
        List<Task> taken = List.copyOf(exhausted);
        exhausted.clear();
        return taken;
    }

    /** Returns what was found since the last call. */
    List<Notice> takeNotices() {
        List<Notice> taken = List.copyOf(notices);
        notices.clear();
        return taken;
    }

    /** The loss of the connection to a worker. */
    private static final class Loss {
        private final long nanos;
        private final List<Placement> runs;
        private final List<Placement> causes;
        private boolean judged;

        /**
         * Makes a loss that is not judged yet.
         *
         * @param runs what may have been active
         * @param causes the runs that had just begun, or else those in isolation
         */
        Loss(long nanos, List<Placement> runs, List<Placement> causes) {
            this.nanos = nanos;
            this.runs = List.copyOf(runs);
            this.causes = List.copyOf(causes);
        }
    }
}
