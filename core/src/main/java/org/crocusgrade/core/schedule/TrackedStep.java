package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.StepSpec;

/** The state of one step of one occurrence of a submission, with its tasks. */
public final class TrackedStep {
    private final TrackedSubmission submission;
    private final StepId id;
    private final StepSpec spec;
    private final List<Task> tasks;
    private final SortedSet<Long> failedGangs = new TreeSet<>();
    private final StepAdvice advice = new StepAdvice();
    private int done;
    private Optional<String> rack = Optional.empty();
    private long rackWaitStartNanos = Long.MIN_VALUE;

    TrackedStep(TrackedSubmission submission, StepId id, StepSpec spec) {
        this.submission = submission;
        this.id = id;
        this.spec = spec;
        List<Task> made = new ArrayList<>(spec.tasks());
        for (int i = 0; i < spec.tasks(); i++) {
            made.add(new Task(this, i));
        }
        tasks = List.copyOf(made);
    }

    public StepId id() {
        return id;
    }

    public StepSpec spec() {
        return spec;
    }

    public List<Task> tasks() {
        return tasks;
    }

    public TrackedSubmission submission() {
        return submission;
    }

    /** Returns the answers of the advice service for the step. */
    StepAdvice advice() {
        return advice;
    }

    /** Returns whether all tasks have completed. */
    public boolean isDone() {
        return done == tasks.size();
    }

    /** Returns whether a task may have two runs at a time. All other tasks have at most one. */
    boolean allowsCopies() {
        return spec.speculative() && !spec.gang() && !spec.longRunning() && !spec.opportunistic();
    }

    int remaining() {
        return tasks.size() - done;
    }

    /**
     * Marks a task as done; returns whether it was not done before. A long-running task is never
     * done: it is started again however it ends.
     */
    public boolean complete(Task task) {
        if (task.isDone() || spec.longRunning()) {
            return false;
        }
        task.setDone();
        done++;
        return true;
    }

    /** Records a failed run of a gang; returns the number of distinct failed runs so far. */
    int failGang(long run) {
        failedGangs.add(run);
        return failedGangs.size();
    }

    /** Returns for how many tasks a run may begin. */
    int startable(long now) {
        if (isDone()) {
            return 0;
        }
        int count = 0;
        for (Task task : tasks) {
            count += task.isStartable(now) ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a run of some task may begin. */
    boolean hasStartable(long now) {
        if (isDone()) {
            return false;
        }
        for (Task task : tasks) {
            if (task.isStartable(now)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many tasks are neither done nor at their full share. */
    public int unavailableTasks() {
        int unavailable = 0;
        for (Task task : tasks) {
            if (!task.isDone() && !task.isAtFullShare()) {
                unavailable++;
            }
        }
        return unavailable;
    }

    /** Returns the rack assigned to a rack-local step, if there is one yet. */
    Optional<String> rack() {
        return rack;
    }

    /** Returns when the wait of the tasks for a certain rack began: the time of the first call. */
    long rackWaitStartNanos(long now) {
        if (rackWaitStartNanos == Long.MIN_VALUE) {
            rackWaitStartNanos = now;
        }
        return rackWaitStartNanos;
    }

    void chooseRack(Optional<String> chosen) {
        rack = chosen;
    }
}
