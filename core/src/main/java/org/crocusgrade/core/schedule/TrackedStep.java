package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.StepSpec;

/** One step of one occurrence, with its tasks. */
public final class TrackedStep {
    private final TrackedSubmission submission;
    private final StepId id;
    private final StepSpec spec;
    private final List<Task> tasks;
    private final SortedSet<Long> failedGangs = new TreeSet<>();
    private final StepAdvice advice = new StepAdvice();
    private int done;
    private Optional<String> rack = Optional.empty();
    private long rackSinceNanos = Long.MIN_VALUE;

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

    /** Returns the step's name. */
    public StepId id() {
        return id;
    }

    /** Returns what the caller asked for. */
    public StepSpec spec() {
        return spec;
    }

    /** Returns the tasks. */
    public List<Task> tasks() {
        return tasks;
    }

    /** Returns the submission. */
    public TrackedSubmission submission() {
        return submission;
    }

    /** Returns what the advice service has said of the step. */
    StepAdvice advice() {
        return advice;
    }

    /** Returns whether all tasks have ended as done. */
    public boolean isDone() {
        return done == tasks.size();
    }

    int remaining() {
        return tasks.size() - done;
    }

    /** Takes a task as done; returns whether it was not before. */
    public boolean complete(Task task) {
        if (task.isDone()) {
            return false;
        }
        task.setDone();
        done++;
        return true;
    }

    /** Counts a failed run of a gang; returns the failed runs so far. */
    int failGang(long run) {
        failedGangs.add(run);
        return failedGangs.size();
    }

    /** Returns how many tasks do not work at their full share. */
    int away() {
        int away = 0;
        for (Task task : tasks) {
            if (!task.isDone() && !task.isAtWork()) {
                away++;
            }
        }
        return away;
    }

    /** Returns the rack that a rack-local step keeps to, if it was chosen. */
    Optional<String> rack() {
        return rack;
    }

    /** Returns since when the step's tasks have wanted a certain rack. */
    long rackWantedSince(long now) {
        if (rackSinceNanos == Long.MIN_VALUE) {
            rackSinceNanos = now;
        }
        return rackSinceNanos;
    }

    void chooseRack(Optional<String> chosen) {
        rack = chosen;
    }
}
