package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskId;

/** One task of a submission: what is durable of it, and where its runs are. */
public final class Task {
    /** Stops beyond this many no longer raise the time that a run gets. */
    private static final int MAX_STALLS = 10;

    private final TrackedStep step;
    private final TaskId id;
    private final SortedSet<Long> failedRuns = new TreeSet<>();
    private final List<Placement> placements = new ArrayList<>(1);
    private final Set<WorkerId> failedOn = new HashSet<>();
    private long failedNanos;
    private boolean done;
    private int stalls;
    private long lastRun;
    private String checkpoint = "";
    private long notBeforeNanos = Long.MIN_VALUE;

    Task(TrackedStep step, int index) {
        this.step = step;
        id = new TaskId(step.id(), index);
    }

    /** Returns the task's name. */
    public TaskId id() {
        return id;
    }

    /** Returns the step that the task belongs to. */
    public TrackedStep step() {
        return step;
    }

    /** Returns whether a run has ended as done. */
    public boolean isDone() {
        return done;
    }

    /** Returns the numbers of the runs that have failed. */
    public SortedSet<Long> failedRuns() {
        return failedRuns;
    }

    /** Returns the last checkpoint; empty if there is none. */
    public String checkpoint() {
        return checkpoint;
    }

    /** Restores what was stored of the task. */
    public void restore(Iterable<Long> failed, String saved) {
        for (long run : failed) {
            failedRuns.add(run);
            if (step.spec().gang()) {
                step.failGang(run);
            }
        }
        checkpoint = saved;
    }

    /** Returns the runs that may still be going on. */
    List<Placement> placements() {
        return placements;
    }

    long lastRun() {
        return lastRun;
    }

    void noteRun(long run) {
        lastRun = Math.max(lastRun, run);
    }

    void setDone() {
        done = true;
    }

    void setCheckpoint(String saved) {
        if (!saved.isEmpty() && step.spec().checkpointing()) {
            checkpoint = saved;
        }
    }

    void noteFailedOn(WorkerId worker, long now) {
        failedOn.add(worker);
        failedNanos = now;
    }

    /** Returns whether a run has failed on a worker: it may be the worker's fault. */
    boolean hasFailedOn(WorkerId worker) {
        return failedOn.contains(worker);
    }

    /** Returns whether a run has failed within a time. */
    boolean hasFailedWithin(long nanos, long now) {
        return !failedOn.isEmpty() && now - failedNanos < nanos;
    }

    void waitUntil(long nanos) {
        notBeforeNanos = nanos;
    }

    /** Returns how often a run was stopped because it stood still. */
    int stalls() {
        return stalls;
    }

    void noteStall() {
        stalls = Math.min(stalls + 1, MAX_STALLS);
    }

    /** Returns whether a run may begin: none is going on, none was done, and no pause holds. */
    boolean isStartable(long now) {
        return !done
                && placements.isEmpty()
                && (notBeforeNanos == Long.MIN_VALUE || now - notBeforeNanos >= 0);
    }

    /** Returns whether the task works at its full share right now. */
    boolean isAtWork() {
        return placements.stream().anyMatch(Placement::isAtWork);
    }
}
