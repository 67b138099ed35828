package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.schedule.Task.UnansweredStart;
import org.crocusgrade.core.submission.RunId;
import org.crocusgrade.core.submission.TaskId;

/**
 * The starts of which a call may still be carried out: each from the time it is sent until all its
 * calls are answered, or until no incarnation of the worker can carry it out or be executing it.
 *
 * <p>A call without an answer may be carried out seconds later. What keeps the worker from that is
 * its memory of the run, which the next incarnation under its name does not have. So a task is
 * bound to the worker of its open starts: further runs begin there, or nowhere. An incarnation
 * rejects a run that is not higher than one that it has stopped or ended, and the next one begins
 * when nothing of the last is left, so a late run never is beside another one on the same worker.
 *
 * <p>For example, a start on w2 at 0 s gets no answer. Its stop is answered at 1 s, and the report
 * of 2 s lacks the run, so the next run begins on w2. That worker crashes at 3 s and its next
 * incarnation, which is not reached, carries the start out at 9 s. The task waits, until w2
 * answers, or until 15 s and the longest lease have passed; another worker would have executed it
 * beside w2.
 */
public final class OpenStarts {
    /** How long after it was sent a call may be carried out, with a margin. */
    public static final Duration MAX_DELAY = Duration.ofSeconds(15);

    private final Map<TaskId, List<OpenStart>> starts = new HashMap<>();

    /**
     * Records that a call for a start is sent.
     *
     * @param sentNanos the time of the call, on the monotonic clock
     * @param longestLease how long a worker executes a run that it has begun without being reached
     */
    public void onSent(Placement placement, long sentNanos, Duration longestLease) {
        find(placement)
                .orElseGet(() -> add(placement.task(), placement.worker().id(), placement.run()))
                .onSent(sentNanos, longestLease);
    }

    /**
     * Records that a worker gave no answer to a call for a start.
     *
     * @return whether the start is to be stored for the next owner
     */
    boolean onUnanswered(Placement placement) {
        Task task = placement.task();
        if (!isOpen(placement) || task.isOver() || task.step().allowsCopies()) {
            return false;
        }
        UnansweredStart start = new UnansweredStart(placement.worker().id(), placement.run());
        task.setUnansweredStart(Optional.of(start));
        return true;
    }

    /**
     * Restores the starts without an answer that an earlier owner has stored with a submission.
     *
     * @param sentNanos when that owner may have sent them last, on the monotonic clock
     * @param longestLease as for {@link #onSent}
     */
    public void restore(TrackedSubmission submission, long sentNanos, Duration longestLease) {
        for (List<TrackedStep> steps : submission.occurrences()) {
            for (TrackedStep step : steps) {
                for (Task task : step.tasks()) {
                    task.unansweredStart()
                            .map(s -> add(task, s.worker(), s.run()))
                            .ifPresent(o -> o.onSent(sentNanos, longestLease));
                }
            }
        }
    }

    /**
     * Records that a call for a start can no longer be carried out: it was answered, or not sent.
     */
    public void onSettled(Placement placement) {
        find(placement).ifPresent(o -> o.calls--);
        List<OpenStart> open = starts.get(placement.task().id());
        if (open != null && removeIf(open, o -> o.calls == 0)) {
            starts.remove(placement.task().id());
        }
    }

    private OpenStart add(Task task, WorkerId worker, long run) {
        OpenStart added = new OpenStart(task, worker, new RunId(task.id(), run));
        starts.computeIfAbsent(task.id(), t -> new ArrayList<>(1)).add(added);
        return added;
    }

    private Optional<OpenStart> find(Placement placement) {
        return starts.getOrDefault(placement.task().id(), List.of()).stream()
                .filter(o -> o.run.run() == placement.run())
                .filter(o -> o.worker.equals(placement.worker().id()))
                .findFirst();
    }

    /** Returns whether a call for the start of a run may still be carried out. */
    boolean isOpen(Placement placement) {
        return find(placement).isPresent();
    }

    /**
     * Returns the worker on which the next run of a task has to begin; empty if it may begin on
     * any. Tasks of which two runs may overlap are not bound.
     */
    Optional<WorkerId> boundTo(Task task) {
        List<OpenStart> open = starts.get(task.id());
        return open == null || task.step().allowsCopies()
                ? Optional.empty()
                : Optional.of(open.get(0).worker);
    }

    /** Returns the runs that a worker may still begin by a call that was sent before. */
    public List<RunId> on(WorkerId worker, long now) {
        return all().filter(o -> o.worker.equals(worker) && now - o.carriedOutUntilNanos <= 0)
                .map(o -> o.run)
                .toList();
    }

    /** Returns whether a worker may still begin or execute a run by a call that was sent before. */
    public boolean isAnyOn(WorkerId worker) {
        return all().anyMatch(o -> o.worker.equals(worker));
    }

    private Stream<OpenStart> all() {
        return starts.values().stream().flatMap(Collection::stream);
    }

    /**
     * Removes the starts that a worker has not carried out, as its list of runs shows that was
     * requested when they could no longer be.
     */
    void onReport(WorkerId worker, Set<RunId> listed, long requestedNanos) {
        removeIf(
                o ->
                        o.worker.equals(worker)
                                && requestedNanos - o.carriedOutUntilNanos > 0
                                && !listed.contains(o.run));
    }

    /** Removes the starts on a worker that is gone for good. */
    public void onGone(WorkerId worker) {
        removeIf(o -> o.worker.equals(worker));
    }

    /**
     * Removes the starts of which no run can be left.
     *
     * @param wasHeldAt whether no other owner can have extended leases before a time
     */
    public void removeOld(long now, LongPredicate wasHeldAt) {
        removeIf(o -> now - o.activeUntilNanos > 0 && wasHeldAt.test(o.activeUntilNanos));
    }

    private void removeIf(Predicate<OpenStart> which) {
        starts.values().removeIf(open -> removeIf(open, which));
    }

    /** Removes some starts of one task; returns whether none is left. */
    private static boolean removeIf(List<OpenStart> open, Predicate<OpenStart> which) {
        open.stream().filter(which).forEach(OpenStart::onRemoved);
        open.removeIf(which);
        return open.isEmpty();
    }

    /** A start with calls that are neither answered nor too old. */
    private static final class OpenStart {
        private final Task task;
        private final WorkerId worker;
        private final RunId run;
        private int calls;
        private long carriedOutUntilNanos;
        private long activeUntilNanos;

        OpenStart(Task task, WorkerId worker, RunId run) {
            this.task = task;
            this.worker = worker;
            this.run = run;
        }

        void onSent(long sentNanos, Duration longestLease) {
            calls++;
            carriedOutUntilNanos = sentNanos + MAX_DELAY.toNanos();
            activeUntilNanos = carriedOutUntilNanos + longestLease.toNanos();
        }

        void onRemoved() {
            if (task.unansweredStart().filter(s -> s.run() == run.run()).isPresent()) {
                task.setUnansweredStart(Optional.empty());
            }
        }
    }
}
