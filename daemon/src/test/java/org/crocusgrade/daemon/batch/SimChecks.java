package org.crocusgrade.daemon.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    private final SimTime time;
    private final Map<TaskId, WorkerId> running = new HashMap<>();
    private final Set<TaskId> done = new HashSet<>();
    private final Map<SubmissionId, Integer> openAttempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;

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
        WorkerId other = running.put(task, worker);
        if (other != null) {
            addViolation(task + " run " + run + " on " + worker + " beside one on " + other);
        }
        if (done.contains(task)) {
            addViolation(
                    task + " run " + run + " on " + worker + " after its end was acknowledged");
        }
        if (openAttempts.getOrDefault(task.step().submission(), 0) == 0) {
            addViolation(task + " run " + run + " of a submission whose attempts were all refused");
        }
    }

    void ended(WorkerId worker, TaskId task, long run) {
        running.remove(task, worker);
    }

    void acknowledged(TaskEnd end) {
        if (end.result() == Result.DONE) {
            done.add(end.task());
        }
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
