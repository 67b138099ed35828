package org.crocusgrade.core.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.TaskId;

/** One incarnation of a worker, as tracked by the owner of its pool. */
public final class WorkerNode {
    private final WorkerId id;
    private final Optional<HostId> host;
    private final long startedEpochMillis;
    private final String zone;
    private final Optional<String> rack;
    private final Set<String> labels;
    private final Map<TaskId, Placement> placements = new LinkedHashMap<>();
    private final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();
    private final RoomClaims claims = new RoomClaims();
    private Resources capacity;
    private Resources used = Resources.NONE;
    private boolean usable;
    private boolean silent;
    private boolean draining;
    private boolean evacuating;
    private long reportedNanos = Long.MIN_VALUE;
    private long reportRequestedNanos = Long.MIN_VALUE;
    private long lastEnd;
    private long ackCursor;
    private long quarantinedUntilNanos = Long.MIN_VALUE;
    private final Set<SubmissionId> failedSubmissions = new HashSet<>();
    private final List<Runnable> stalls = new ArrayList<>();
    private long lastResultNanos = Long.MIN_VALUE;
    private final WorkerSpeed speed = new WorkerSpeed();
    private boolean onTrial;
    private boolean held;
    private final List<Placement> isolated = new ArrayList<>();
    private int longRunning;

    /**
     * Makes a worker without runs.
     *
     * @param startedEpochMillis when this incarnation began, as reported by the worker
     */
    public WorkerNode(
            WorkerId id,
            Optional<HostId> host,
            long startedEpochMillis,
            String zone,
            Optional<String> rack,
            Set<String> labels,
            Resources capacity) {
        this.id = id;
        this.host = host;
        this.startedEpochMillis = startedEpochMillis;
        this.zone = zone;
        this.rack = rack;
        this.labels = Set.copyOf(labels);
        this.capacity = capacity;
    }

    public WorkerId id() {
        return id;
    }

    /** Returns the host that it runs on, if it reports one. */
    public Optional<HostId> host() {
        return host;
    }

    /** Returns when this incarnation began, as reported by the worker. */
    public long startedEpochMillis() {
        return startedEpochMillis;
    }

    /** Returns the availability zone. */
    public String zone() {
        return zone;
    }

    /** Returns the rack, if it reports one. */
    public Optional<String> rack() {
        return rack;
    }

    public Resources capacity() {
        return capacity;
    }

    /** Sets the capacity that the worker reports; its runs may have reserved more than that. */
    public void setCapacity(Resources reported) {
        capacity = reported;
    }

    /**
     * Returns the capacity that neither a run nor a claim has reserved; negative amounts are
     * reserved beyond the capacity.
     */
    public Resources free() {
        return unused().minus(claims.reserved());
    }

    /** Returns the capacity that no run has reserved. */
    Resources unused() {
        return capacity.minus(used);
    }

    /** Returns the capacity that a task may use: what is free, and what it has claimed. */
    Resources freeFor(Task task) {
        return claims.contains(task) ? free().plus(task.step().spec().reserved()) : free();
    }

    /** Returns the room kept for tasks that are being stopped elsewhere. */
    RoomClaims claims() {
        return claims;
    }

    /** Returns how many long-running tasks are being stopped elsewhere to continue here. */
    public int expectedTasks() {
        return evacuating || draining ? 0 : claims.size();
    }

    /** Returns the runs that may be active. */
    public Collection<Placement> placements() {
        return placements.values();
    }

    /** Returns how many of the runs are of long-running tasks. */
    public int longRunning() {
        return longRunning;
    }

    /** Returns whether there are runs of tasks that are not long-running. */
    public boolean hasBatchRuns() {
        return placements.size() > longRunning;
    }

    /** Returns what long-running tasks have reserved. */
    Resources longRunningReserved() {
        Resources sum = Resources.NONE;
        if (longRunning == 0) {
            return sum;
        }
        for (Placement placement : placements.values()) {
            StepSpec spec = placement.task().step().spec();
            sum = spec.longRunning() ? sum.plus(spec.reserved()) : sum;
        }
        return sum;
    }

    /** Returns whether a long-running task here has not reached its full share yet. */
    public boolean hasTaskSettling() {
        if (longRunning == 0) {
            return false;
        }
        for (Placement placement : placements.values()) {
            if (placement.task().step().spec().longRunning() && !placement.isAtFullShare()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether opportunistic tasks run here beside tasks with a latency target. */
    public boolean isShared() {
        boolean hasServing = false;
        boolean hasOpportunistic = false;
        for (Placement placement : placements.values()) {
            StepSpec spec = placement.task().step().spec();
            hasServing |= spec.longRunning() && spec.latencyTarget().isPresent();
            hasOpportunistic |= spec.opportunistic();
        }
        return hasServing && hasOpportunistic;
    }

    /** Returns when the worker's last report arrived. */
    long reportedNanos() {
        return reportedNanos;
    }

    /** Returns when the worker's last report was requested; it shows a state after that time. */
    long reportRequestedNanos() {
        return reportRequestedNanos;
    }

    void setReported(long requestedNanos, long now) {
        reportRequestedNanos = requestedNanos;
        reportedNanos = now;
    }

    /** Returns the processors that are neither reserved nor demanded by opportunistic tasks. */
    long unclaimedMilliCores() {
        long unclaimed = free().milliCores();
        for (Placement placement : placements.values()) {
            StepSpec spec = placement.task().step().spec();
            unclaimed -= spec.opportunistic() ? spec.demand().milliCores() : 0;
        }
        return unclaimed;
    }

    /**
     * Sets whether start orders may be sent: the worker is registered, answers calls, and has
     * received the fencing token of this owner.
     */
    public void setUsable(boolean value) {
        usable = value;
    }

    /** Sets whether the last call to the worker got no answer, so that its state is unknown. */
    public void setSilent(boolean value) {
        silent = value;
    }

    /** Returns whether the last call to the worker got no answer. */
    public boolean isSilent() {
        return silent;
    }

    /** Sets whether the worker is about to leave. */
    public void setDraining(boolean value) {
        draining = value;
    }

    /** Returns whether the worker is about to leave. */
    public boolean isDraining() {
        return draining;
    }

    /** Sets whether the worker is to be emptied. */
    public void setEvacuating(boolean value) {
        evacuating = value;
    }

    /** Returns whether the worker is to be emptied. */
    public boolean isEvacuating() {
        return evacuating;
    }

    /**
     * Returns whether new runs may be placed here. After a quarantine, that is one at a time, until
     * one is done; long-running tasks, which never are, do not count.
     */
    public boolean acceptsRuns(long now) {
        return !held && acceptsSuspects(now);
    }

    /** Returns whether new runs may be placed here, also while the worker is held for suspects. */
    boolean acceptsSuspects(long now) {
        boolean trialTaken = onTrial && placements.size() > longRunning;
        return usable
                && !draining
                && !evacuating
                && !isQuarantined(now)
                && !trialTaken
                && isolatedRuns(now).isEmpty();
    }

    /** Sets whether the worker is to be emptied for tasks that may crash it. */
    void setHeld(boolean value) {
        held = value;
    }

    /** Returns the runs because of which nothing else may begin here. */
    List<Placement> isolatedRuns(long now) {
        return isolated.isEmpty()
                ? List.of()
                : isolated.stream().filter(p -> p.isOnProbation(now)).toList();
    }

    /** Keeps other runs from beginning here while a placed run is on probation. */
    void isolate(Placement placement, long probationNanos) {
        placement.setProbation(probationNanos);
        isolated.add(placement);
    }

    /** Returns how long runs take here in relation to other workers. */
    WorkerSpeed speed() {
        return speed;
    }

    /** Returns whether runs take clearly longer here than on the pool's other workers. */
    boolean isSlow() {
        return speed.isSlow();
    }

    /** Returns how many times longer runs take here than elsewhere; 1 unless it is slow. */
    double slowdown() {
        return speed.slowdown();
    }

    /** Returns whether the worker accepts runs now, or will once it has reported its runs. */
    boolean countsTowardCapacity(long now) {
        return !silent && !draining && !evacuating && !isQuarantined(now);
    }

    boolean isQuarantined(long now) {
        return quarantinedUntilNanos != Long.MIN_VALUE && now - quarantinedUntilNanos < 0;
    }

    void quarantineUntil(long nanos) {
        quarantinedUntilNanos = nanos;
        failedSubmissions.clear();
        stalls.clear();
        onTrial = true;
    }

    /**
     * Records a run that failed or stalled. The submission itself may be at fault, so distinct
     * submissions are counted rather than runs.
     *
     * @param limit the number of submissions with a failed run since the last success from which on
     *     the worker is at fault; a failure after a quarantine suffices
     * @return whether the worker is at fault
     */
    boolean recordFailure(SubmissionId submission, int limit) {
        failedSubmissions.add(submission);
        return onTrial || failedSubmissions.size() >= limit;
    }

    /** Removes a submission that fails on several workers from those counted against this one. */
    void forgiveFailure(SubmissionId submission) {
        failedSubmissions.remove(submission);
    }

    /**
     * Keeps what is to be done with a run stopped as stalled if the worker proves sound. It is
     * dropped if the worker is quarantined.
     *
     * @param whenSound called at the next success here
     */
    void addStall(Runnable whenSound) {
        stalls.add(whenSound);
    }

    /** Records that a run has completed or failed here, so that the worker is at work. */
    void recordResult(long now) {
        lastResultNanos = now;
    }

    /** Returns when a run last completed or failed here; {@link Long#MIN_VALUE} if never. */
    long lastResultNanos() {
        return lastResultNanos;
    }

    void recordSuccess() {
        onTrial = false;
        stalls.forEach(Runnable::run);
        stalls.clear();
        failedSubmissions.clear();
        quarantinedUntilNanos = Long.MIN_VALUE;
    }

    boolean hasLabel(String label) {
        return labels.contains(label);
    }

    /** Returns the run of a task that may be active here. */
    public Optional<Placement> placement(TaskId task) {
        return Optional.ofNullable(placements.get(task));
    }

    void add(Placement placement) {
        placements.put(placement.task().id(), placement);
        placement.task().placements().add(placement);
        used = used.plus(placement.task().step().spec().reserved());
        placement.task().step().submission().customerUse().add(demand(placement));
        if (placement.task().step().spec().longRunning()) {
            longRunning++;
        }
    }

    void remove(Placement placement) {
        if (placements.remove(placement.task().id(), placement)) {
            placement.task().placements().remove(placement);
            isolated.remove(placement);
            used = used.minus(placement.task().step().spec().reserved());
            placement.task().step().submission().customerUse().remove(demand(placement));
            if (placement.task().step().spec().longRunning()) {
                longRunning--;
            }
        }
    }

    /** Removes a run that was ordered from a former incarnation, but has never been sent. */
    void removeUnsent(Placement ordered) {
        removeRuns(
                p ->
                        p.task() == ordered.task()
                                && p.run() == ordered.run()
                                && p.worker() != ordered.worker()
                                && !p.isListed());
    }

    void removeRuns(Predicate<Placement> which) {
        List.copyOf(placements.values()).stream().filter(which).forEach(this::remove);
    }

    private static Resources demand(Placement placement) {
        return placement.task().step().spec().demand();
    }

    /** Returns how many tasks of a step run here or have claimed room. */
    int tasksOf(StepId step) {
        int count = claims.tasksOf(step);
        for (TaskId task : placements.keySet()) {
            if (task.step().equals(step)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of the last end that the worker has reported. */
    public long lastEnd() {
        return lastEnd;
    }

    /**
     * Records an end that may be acknowledged once the current change of its submission is stored.
     */
    void recordEnd(long number, Optional<TrackedSubmission> submission) {
        lastEnd = number;
        long change = submission.map(TrackedSubmission::changes).orElse(0L);
        pendingEnds.add(new PendingEnd(number, submission, change));
    }

    /** Returns the number up to which the worker may discard the ends that it lists. */
    public long ackCursor() {
        while (!pendingEnds.isEmpty() && pendingEnds.peek().isStored()) {
            ackCursor = pendingEnds.remove().number;
        }
        return ackCursor;
    }

    private record PendingEnd(long number, Optional<TrackedSubmission> submission, long change) {
        boolean isStored() {
            return submission.isEmpty() || submission.get().stored() >= change;
        }
    }
}
