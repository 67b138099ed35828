package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.core.submission.TaskRun;

/**
 * Takes in what workers say: which runs are going on and which have ended.
 *
 * <p>A run counts as gone only on proof: its end is listed, its worker's incarnation is over, its
 * lease has surely run out, or a list that was asked for after its order or its stop was answered
 * lacks it. Answers on several connections may overtake each other, so a list asked for earlier
 * proves nothing.
 */
final class ReportIntake {
    /** Ends in one list from which on more may have been left out. */
    private static final int FULL_LIST = 500;

    /** Submissions whose runs fail in a row after which a worker is quarantined. */
    private static final int QUARANTINE_FAILURES = 3;

    /** How long a worker that fails all it starts is quarantined, in nanoseconds. */
    private static final long QUARANTINE_NANOS = 3_000_000_000L;

    /** The pause before a failed task is tried again, in nanoseconds. */
    private static final long RETRY_PAUSE_NANOS = 50_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times;
    private final Map<WorkerNode, Set<RunName>> unwanted = new HashMap<>();

    ReportIntake(PoolState pool, RunTimeModel times) {
        this.pool = pool;
        this.times = times;
    }

    /** Takes a worker's two lists. */
    void onReport(
            WorkerNode worker,
            long askedNanos,
            List<TaskRun> running,
            List<TaskEnd> ends,
            long now,
            Instant wall) {
        worker.setReported(now);
        Set<RunName> listed = new HashSet<>();
        Set<RunName> foreign = new HashSet<>();
        for (TaskRun run : running) {
            listed.add(new RunName(run.task(), run.run()));
            if (!takeRunning(worker, run, now)) {
                foreign.add(new RunName(run.task(), run.run()));
            }
        }
        unwanted.put(worker, foreign);
        for (TaskEnd end : ends) {
            if (end.number() > worker.lastEnd()) {
                takeEnd(worker, end, now, wall);
            }
        }
        if (ends.size() < FULL_LIST) {
            dropAbsent(worker, listed, askedNanos);
        }
    }

    /** Returns the runs that a worker lists and that nobody wants. */
    Set<RunName> unwanted(WorkerNode worker) {
        return unwanted.getOrDefault(worker, Set.of());
    }

    /** Takes the certain end of a worker's incarnation. */
    void onDeath(WorkerNode worker) {
        unwanted.remove(worker);
        for (Placement placement : List.copyOf(worker.placements())) {
            worker.remove(placement);
        }
    }

    private boolean takeRunning(WorkerNode worker, TaskRun row, long now) {
        Optional<Task> known = pool.task(row.task());
        if (known.isEmpty()) {
            return false;
        }
        Task task = known.get();
        task.noteRun(row.run());
        Optional<Placement> held = worker.placement(row.task());
        if (held.isPresent() && held.get().run() == row.run()) {
            observe(held.get(), row, now);
            return true;
        }
        boolean wanted = !task.isDone() && !task.step().submission().outcome().isFinal();
        if (!wanted || !task.placements().isEmpty()) {
            return false;
        }
        Placement adopted = new Placement(task, worker, row.run(), row.checkpoint(), now);
        adopted.enter(Phase.RUNNING, now);
        worker.add(adopted);
        task.step().submission().setBegun();
        observe(adopted, row, now);
        return true;
    }

    private void observe(Placement placement, TaskRun row, long now) {
        if (placement.phase() == Phase.STARTING || placement.phase() == Phase.UNCERTAIN) {
            placement.enter(Phase.RUNNING, now);
            placement.task().step().submission().setBegun();
        }
        placement.observe(row.percent(), row.load(), now);
        placement.task().setCheckpoint(row.checkpoint());
    }

    private void takeEnd(WorkerNode worker, TaskEnd end, long now, Instant wall) {
        Optional<Task> known = pool.task(end.task());
        if (known.isPresent()) {
            Task task = known.get();
            task.noteRun(end.run());
            Optional<Placement> placement =
                    worker.placement(end.task()).filter(p -> p.run() == end.run());
            placement.ifPresent(worker::remove);
            task.setCheckpoint(end.checkpoint());
            apply(worker, task, end, placement, now, wall);
        }
        worker.noteEnd(end.number(), known.map(t -> t.step().submission()));
    }

    private void apply(
            WorkerNode worker,
            Task task,
            TaskEnd end,
            Optional<Placement> placement,
            long now,
            Instant wall) {
        task.step().submission().setBegun();
        switch (end.how()) {
            case DONE -> {
                worker.noteSuccess();
                placement.ifPresent(p -> learn(p, now));
                complete(task, wall);
            }
            case FAILED -> {
                if (worker.noteFailure(end.task().step().submission()) >= QUARANTINE_FAILURES) {
                    worker.quarantineUntil(now + QUARANTINE_NANOS);
                }
                task.noteFailedOn(worker.id(), now);
                fail(task, end.run(), now, wall);
            }
            case ALONE, BROKEN -> task.waitUntil(now + RETRY_PAUSE_NANOS);
            default -> {
                // Stopped or lapsed: the task starts again when its turn comes.
            }
        }
    }

    private void learn(Placement placement, long now) {
        Task task = placement.task();
        if (placement.checkpoint().isEmpty()) {
            double millis = (now - placement.orderedNanos()) / NANOS_PER_MILLI;
            times.add(task.step().submission().queue(), task.step().spec(), millis);
        }
    }

    private void complete(Task task, Instant wall) {
        TrackedStep step = task.step();
        TrackedSubmission submission = step.submission();
        boolean changed = submission.complete(step, task);
        if (step.spec().gang()) {
            for (Task member : step.tasks()) {
                changed |= submission.complete(step, member);
            }
        }
        if (!changed) {
            return;
        }
        submission.touch();
        if (submission.isAllDone()) {
            submission.end(SubmissionState.COMPLETED, wall);
        }
        pool.markDirty(submission);
    }

    private void fail(Task task, long run, long now, Instant wall) {
        TrackedStep step = task.step();
        TrackedSubmission submission = step.submission();
        task.waitUntil(now + RETRY_PAUSE_NANOS);
        if (step.spec().longRunning() || !task.failedRuns().add(run)) {
            return;
        }
        int failed = step.spec().gang() ? step.failGang(run) : task.failedRuns().size();
        submission.touch();
        if (failed >= submission.maxAttempts() && !task.isDone()) {
            submission.end(SubmissionState.FAILED, wall);
        }
        pool.markDirty(submission);
    }

    private void dropAbsent(WorkerNode worker, Set<RunName> listed, long askedNanos) {
        List<Placement> gone = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            boolean present = listed.contains(new RunName(placement.task().id(), placement.run()));
            if (!present && placement.isAbsenceCertain(askedNanos)) {
                gone.add(placement);
            }
        }
        gone.forEach(worker::remove);
    }

    /** Names one run of a task. */
    record RunName(TaskId task, long run) {}
}
