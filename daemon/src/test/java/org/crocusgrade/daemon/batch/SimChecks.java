package org.crocusgrade.daemon.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskId;

/**
 * Checks the guarantees on runs against what the simulated workers have executed, and collects
 * violations.
 */
final class SimChecks {
    /** A task is started no more than twice after it has crashed three workers. */
    private static final int MAX_CRASHES = 5;

    private final SimTime time;
    private final Map<TaskId, List<WorkerId>> running = new HashMap<>();
    private final Set<SubmissionId> copiesAllowed = new HashSet<>();
    private final Set<TaskId> done = new HashSet<>();
    private final Map<SubmissionId, Integer> openAttempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Set<SubmissionId> crashing = new HashSet<>();
    private final Map<TaskId, Integer> crashes = new HashMap<>();
    private Consumer<SimWorker> onRestart = w -> {};
    private int starts;
    private int copies;

    SimChecks(SimTime time) {
        this.time = time;
    }

    /** Records an attempt of a caller to submit, the first or a repetition. */
    void attempted(SubmissionId id) {
        openAttempts.merge(id, 1, Integer::sum);
    }

    /** Records that one attempt of a caller was refused. */
    void refused(SubmissionId id) {
        openAttempts.merge(id, -1, Integer::sum);
    }

    void started(WorkerId worker, TaskId task, long run) {
        starts++;
        if (crashes.getOrDefault(task, 0) >= MAX_CRASHES) {
            addViolation(
                    task + " run " + run + " after it has crashed " + MAX_CRASHES + " workers");
        }
        List<WorkerId> others = running.computeIfAbsent(task, t -> new ArrayList<>());
        boolean mayOverlap = copiesAllowed.contains(task.step().submission());
        boolean isCopy = mayOverlap && others.size() == 1 && !others.contains(worker);
        if (!others.isEmpty() && !isCopy) {
            addViolation(task + " run " + run + " on " + worker + " beside those on " + others);
        }
        copies += isCopy ? 1 : 0;
        others.add(worker);
        // The start of a copy may arrive after the other run has completed.
        if (done.contains(task) && !mayOverlap) {
            addViolation(
                    task + " run " + run + " on " + worker + " after its end was acknowledged");
        }
        if (openAttempts.getOrDefault(task.step().submission(), 0) == 0) {
            addViolation(task + " run " + run + " of a submission whose attempts were all refused");
        }
    }

    void ended(WorkerId worker, TaskId task, long run) {
        running.getOrDefault(task, new ArrayList<>()).remove(worker);
    }

    void acknowledged(TaskEnd end) {
        if (end.result() == Result.DONE) {
            done.add(end.task());
        }
    }

    /** Lets the tasks of a submission crash each worker that starts them. */
    void setCrashing(SubmissionId id) {
        crashing.add(id);
    }

    boolean crashesWorkers(SubmissionId id) {
        return crashing.contains(id);
    }

    void crashed(TaskId task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Returns how many workers each task has crashed. */
    Map<TaskId, Integer> crashes() {
        return crashes;
    }

    /** Sets what to do when a worker is back after the crash by a task. */
    void setOnRestart(Consumer<SimWorker> step) {
        onRestart = step;
    }

    void restarted(SimWorker worker) {
        onRestart.accept(worker);
    }

    /** Records that two runs of a submission's tasks may overlap, on different workers. */
    void allowCopies(SubmissionId id) {
        copiesAllowed.add(id);
    }

    /** Returns how many runs began beside another one of the task. */
    int copies() {
        return copies;
    }

    int starts() {
        return starts;
    }

    List<String> violations() {
        return violations;
    }

    void addViolation(String what) {
        violations.add(time.millis() + " ms: " + what);
    }
}
