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
import org.crocusgrade.core.submission.TaskEnd.How;
import org.crocusgrade.core.submission.TaskId;

/** Holds the promises on runs against what the simulated workers saw. */
final class SimChecks {
    private final SimTime time;
    private final Map<TaskId, WorkerId> running = new HashMap<>();
    private final Set<TaskId> done = new HashSet<>();
    private final Map<SubmissionId, Integer> openAttempts = new HashMap<>();
    private final List<String> breaches = new ArrayList<>();
    private int starts;

    SimChecks(SimTime time) {
        this.time = time;
    }

    /** A caller hands a submission in, once more or for the first time. */
    void attempted(SubmissionId id) {
        openAttempts.merge(id, 1, Integer::sum);
    }

    /** A caller was told that one of its attempts was refused. */
    void refused(SubmissionId id) {
        openAttempts.merge(id, -1, Integer::sum);
    }

    void started(WorkerId worker, TaskId task, long run) {
        starts++;
        WorkerId other = running.put(task, worker);
        if (other != null) {
            breach(task + " run " + run + " on " + worker + " beside one on " + other);
        }
        if (done.contains(task)) {
            breach(task + " run " + run + " on " + worker + " after its end was acknowledged");
        }
        if (openAttempts.getOrDefault(task.step().submission(), 0) == 0) {
            breach(task + " run " + run + " of a submission whose attempts were all refused");
        }
    }

    void ended(WorkerId worker, TaskId task, long run) {
        running.remove(task, worker);
    }

    void acknowledged(TaskEnd end) {
        if (end.how() == How.DONE) {
            done.add(end.task());
        }
    }

    int starts() {
        return starts;
    }

    List<String> breaches() {
        return breaches;
    }

    void breach(String what) {
        breaches.add(time.millis() + " ms: " + what);
    }
}
