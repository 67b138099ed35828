package org.crocusgrade.core.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.schedule.CrashHistory.Crash;
import org.crocusgrade.core.schedule.CrashHistory.Kind;
import org.crocusgrade.core.submission.TaskId;

/** One task of a submission: its durable state and its active runs. */
public final class Task {
    /** Number of stalls beyond which the time limit of a run is no longer doubled. */
    private static final int MAX_STALLS = 10;

    /** Number of runs at a time of a task whose step allows copies. */
    private static final int MAX_RUNS_WITH_COPY = 2;

    /** A long-running task whose run ends sooner after its order is restarted more slowly. */
    private static final long SHORT_RUN_NANOS = 3_000_000_000L;

    /** The delay before a long-running task that has ended by itself is started again. */
    private static final long RESTART_PAUSE_NANOS = 50_000_000L;

    /** Number of short runs beyond which the delay is no longer doubled: it is 1.6 s then. */
    private static final int MAX_SHORT_RUNS = 5;

    private final TrackedStep step;
    private final TaskId id;
    // Most tasks never fail, and an owner holds many, so these are created when they are needed.
    private SortedSet<Long> failedRuns = Collections.emptySortedSet();
    private final CrashHistory crashes = new CrashHistory();
    private final List<Placement> placements = new ArrayList<>(0);
    private Set<WorkerId> failedOn = Set.of();
    private long failedNanos;
    private boolean done;
    private int stalls;
    private int shortRuns;
    private Optional<WorkerNode> claimedOn = Optional.empty();
    private long lastRun;
    private String checkpoint = "";
    private long notBeforeNanos = Long.MIN_VALUE;
    private long crashesChange;
    private long announcedRun;
    private Optional<UnansweredStart> unansweredStart = Optional.empty();

    Task(TrackedStep step, int index) {
        this.step = step;
        id = new TaskId(step.id(), index);
    }

    public TaskId id() {
        return id;
    }

    public TrackedStep step() {
        return step;
    }

    /** Returns whether a run of the task has completed. */
    public boolean isDone() {
        return done;
    }

    public SortedSet<Long> failedRuns() {
        return Collections.unmodifiableSortedSet(failedRuns);
    }

    /** Counts a failed run; returns whether it was not counted before. */
    boolean addFailedRun(long run) {
        if (failedRuns.isEmpty()) {
            failedRuns = new TreeSet<>();
        }
        return failedRuns.add(run);
    }

    /** Returns the runs under which workers have crashed. */
    public CrashHistory crashes() {
        return crashes;
    }

    /** Records that the crashes have changed with the last change of the submission. */
    void setCrashesChanged() {
        crashesChange = step.submission().changes();
    }

    /** Announces the next run, in isolation; it may start once this is stored. */
    void announce(long run) {
        announcedRun = run;
    }

    /** Returns whether the next run is announced. */
    boolean isNextRunAnnounced() {
        return announcedRun > lastRun;
    }

    /** Returns the run that was announced last and may be active; 0 if there is none. */
    public long announcedRun() {
        return announcedRun;
    }

    /** Withdraws the announcement of a run that is not active; returns whether there was one. */
    boolean clearAnnouncement(long run) {
        boolean announced = announcedRun == run && run > 0;
        announcedRun = announced ? 0 : announcedRun;
        return announced;
    }

    /**
     * Restores the announcement of an earlier owner: the run counts as one whose worker has crashed
     * unless a worker lists it.
     */
    public void restoreAnnouncement(long run) {
        if (run > 0) {
            crashes.add(new Crash(run, Kind.UNSEEN));
        }
    }

    /**
     * Returns a start that its worker has not answered and may still carry out, if there is one.
     */
    public Optional<UnansweredStart> unansweredStart() {
        return unansweredStart;
    }

    /** Sets the start that its worker may still carry out; it is stored for the next owner. */
    public void setUnansweredStart(Optional<UnansweredStart> start) {
        unansweredStart = start;
    }

    /**
     * Returns whether the task may be the cause of a crash, so that it is to run in isolation.
     * Members of a gang start together, so they do not.
     */
    boolean needsIsolation() {
        return !isOver() && crashes.isSuspect() && !step.spec().gang();
    }

    /**
     * Returns whether no run of the task is wanted any more: it is done, or its submission ended.
     */
    boolean isOver() {
        return done || step.submission().outcome().isFinal();
    }

    /** Returns the last checkpoint; empty if there is none. */
    public String checkpoint() {
        return checkpoint;
    }

    /** Restores the stored state of the task. */
    public void restore(Iterable<Long> failed, String saved) {
        for (long run : failed) {
            addFailedRun(run);
            if (step.spec().gang()) {
                step.failGang(run);
            }
        }
        checkpoint = saved;
    }

    /** Keeps room for the task on the worker that is to run it next. */
    void claim(WorkerNode worker, long untilNanos) {
        releaseClaim();
        worker.claims().add(this, untilNanos);
        claimedOn = Optional.of(worker);
    }

    void releaseClaim() {
        claimedOn.ifPresent(w -> w.claims().remove(this));
        claimedOn = Optional.empty();
    }

    /** Returns the worker that was last asked to keep room for the task. */
    Optional<WorkerNode> claimedOn() {
        return claimedOn;
    }

    /** Returns the runs that may still be active. */
    List<Placement> placements() {
        return placements;
    }

    long lastRun() {
        return lastRun;
    }

    void recordRun(long run) {
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

    void recordFailureOn(WorkerId worker, long now) {
        if (failedOn.isEmpty()) {
            failedOn = new HashSet<>();
        }
        failedOn.add(worker);
        failedNanos = now;
    }

    /** Returns whether a run has failed on a worker, which may have been the cause. */
    boolean hasFailedOn(WorkerId worker) {
        return failedOn.contains(worker);
    }

    /** Returns whether a run has failed within the last {@code nanos} nanoseconds. */
    boolean hasFailedWithin(long nanos, long now) {
        return !failedOn.isEmpty() && now - failedNanos < nanos;
    }

    void waitUntil(long nanos) {
        notBeforeNanos = nanos;
    }

    /**
     * Lets a long-running task that has ended by itself start anew, without its checkpoint. The
     * pause before the start doubles while its runs end soon after their start.
     *
     * @param orderedNanos when the run was ordered; empty if this owner has not ordered it
     */
    void restartAfterEnd(Optional<Long> orderedNanos, long now) {
        boolean isShort = orderedNanos.map(t -> now - t < SHORT_RUN_NANOS).orElse(false);
        shortRuns = isShort ? Math.min(shortRuns + 1, MAX_SHORT_RUNS) : 0;
        checkpoint = "";
        waitUntil(now + (RESTART_PAUSE_NANOS << shortRuns));
    }

    /** Returns how often a run of the task was stopped because it stalled. */
    int stalls() {
        return stalls;
    }

    void recordStall() {
        stalls = Math.min(stalls + 1, MAX_STALLS);
    }

    /**
     * Returns whether a run may begin: none is active, none has completed, and no delay is pending.
     */
    boolean isStartable(long now) {
        return !done
                && placements.isEmpty()
                && !isExhausted()
                && !isPaused(now)
                && areCrashesStored();
    }

    /**
     * Returns whether the crashes of a suspect and the announcement of its next run are stored.
     * Otherwise one start more could go unnoticed with each change of the owner.
     */
    private boolean areCrashesStored() {
        return !crashes.isSuspect() || step.submission().stored() >= crashesChange;
    }

    /**
     * Returns whether a second run may begin: exactly one is active, the step allows copies, and at
     * least two attempts are left, so that a copy that fails does not end the submission.
     */
    boolean isCopyable(long now) {
        int attempts = failedRuns.size() + MAX_RUNS_WITH_COPY;
        return !isOver()
                && placements.size() == 1
                && crashes.isEmpty()
                && allowsAnotherRun()
                && attempts <= step.submission().maxAttempts()
                && !isPaused(now);
    }

    /**
     * Returns whether the task may have another run beside those that may be active. Unless the
     * step allows copies, this is so only if there is none.
     */
    boolean allowsAnotherRun() {
        return placements.size() < (step.allowsCopies() ? MAX_RUNS_WITH_COPY : 1);
    }

    /** Returns whether a run that was started before another one may still be active. */
    boolean hasEarlierRun(long run) {
        return placements.stream().anyMatch(p -> p.run() < run);
    }

    /**
     * Returns whether all attempts have failed while a copy was left, or too many workers have
     * crashed. The submission fails once no run is left. A long-running task is started again
     * however it ends, and only in isolation while it may be the cause of crashes.
     */
    boolean isExhausted() {
        boolean hasFailed =
                step.allowsCopies() && failedRuns.size() >= step.submission().maxAttempts();
        return hasFailed || !step.spec().longRunning() && crashes.isLimitReached();
    }

    private boolean isPaused(long now) {
        return notBeforeNanos != Long.MIN_VALUE && now - notBeforeNanos < 0;
    }

    /** Returns whether a run currently works at its full share. */
    boolean isAtFullShare() {
        return placements.stream().anyMatch(Placement::isAtFullShare);
    }

    /** A start to which a worker gave no answer. */
    public record UnansweredStart(WorkerId worker, long run) {
        public UnansweredStart {
            Objects.requireNonNull(worker);
        }
    }
}
