package org.crocusgrade.core.schedule;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.TaskId;

/** One incarnation of a worker, as the owner of its pool sees it. */
public final class WorkerNode {
    private final WorkerId id;
    private final Optional<HostId> host;
    private final long born;
    private final String zone;
    private final Optional<String> rack;
    private final Set<String> labels;
    private final Resources capacity;
    private final Map<TaskId, Placement> placements = new LinkedHashMap<>();
    private final Deque<PendingEnd> pendingEnds = new ArrayDeque<>();
    private Resources used = Resources.NONE;
    private boolean usable;
    private boolean silent;
    private boolean draining;
    private boolean evacuating;
    private long reportedNanos = Long.MIN_VALUE;
    private long lastEnd;
    private long ackCursor;
    private long quarantinedUntilNanos = Long.MIN_VALUE;
    private final Set<SubmissionId> failedSubmissions = new HashSet<>();
    private int longRunning;

    /**
     * Makes a worker on which nothing is known to run.
     *
     * @param born when this incarnation began, as the worker says
     */
    public WorkerNode(
            WorkerId id,
            Optional<HostId> host,
            long born,
            String zone,
            Optional<String> rack,
            Set<String> labels,
            Resources capacity) {
        this.id = id;
        this.host = host;
        this.born = born;
        this.zone = zone;
        this.rack = rack;
        this.labels = Set.copyOf(labels);
        this.capacity = capacity;
    }

    /** Returns the worker's name. */
    public WorkerId id() {
        return id;
    }

    /** Returns the host that it runs on, if it says so. */
    public Optional<HostId> host() {
        return host;
    }

    /** Returns when this incarnation began, as the worker says. */
    public long born() {
        return born;
    }

    /** Returns the availability zone. */
    public String zone() {
        return zone;
    }

    /** Returns the rack, if it says so. */
    public Optional<String> rack() {
        return rack;
    }

    /** Returns what it has in all. */
    public Resources capacity() {
        return capacity;
    }

    /** Returns what no run takes. */
    public Resources free() {
        return capacity.minus(used);
    }

    /** Returns the runs that may be going on. */
    public Collection<Placement> placements() {
        return placements.values();
    }

    /** Returns how many of the runs are of long-running tasks. */
    public int longRunning() {
        return longRunning;
    }

    /** Returns whether a long-running task here is not yet fully at work. */
    public boolean hasTaskSettling() {
        if (longRunning == 0) {
            return false;
        }
        for (Placement placement : placements.values()) {
            if (placement.task().step().spec().longRunning() && !placement.isAtWork()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether opportunistic tasks here work beside tasks with a latency target. */
    public boolean isShared() {
        boolean serves = false;
        boolean fills = false;
        for (Placement placement : placements.values()) {
            StepSpec spec = placement.task().step().spec();
            serves |= spec.longRunning() && spec.latencyTarget().isPresent();
            fills |= spec.opportunistic();
        }
        return serves && fills;
    }

    /** Returns when the worker's last report came. */
    long reportedNanos() {
        return reportedNanos;
    }

    void setReported(long now) {
        reportedNanos = now;
    }

    /** Returns the processors that neither reservations nor opportunistic tasks ask for. */
    long unclaimedMilliCores() {
        long unclaimed = free().milliCores();
        for (Placement placement : placements.values()) {
            StepSpec spec = placement.task().step().spec();
            unclaimed -= spec.opportunistic() ? spec.demand().milliCores() : 0;
        }
        return unclaimed;
    }

    /** Says whether orders may be sent: it is registered, takes work, and knows our token. */
    public void setUsable(boolean now) {
        usable = now;
    }

    /** Says whether the last call to the worker got no answer: nobody knows what it does. */
    public void setSilent(boolean now) {
        silent = now;
    }

    boolean isSilent() {
        return silent;
    }

    /** Says that the worker is about to leave. */
    public void setDraining(boolean now) {
        draining = now;
    }

    /** Returns whether the worker is about to leave. */
    public boolean isDraining() {
        return draining;
    }

    /** Says whether the worker is to be emptied. */
    public void setEvacuating(boolean now) {
        evacuating = now;
    }

    /** Returns whether the worker is to be emptied. */
    public boolean isEvacuating() {
        return evacuating;
    }

    /** Returns whether new runs may be placed here. */
    public boolean takesWork(long now) {
        return usable && !draining && !evacuating && !isQuarantined(now);
    }

    /** Returns whether the worker takes work now, or will once it has been asked for its runs. */
    boolean isCountedOn(long now) {
        return !silent && !draining && !evacuating && !isQuarantined(now);
    }

    boolean isQuarantined(long now) {
        return quarantinedUntilNanos != Long.MIN_VALUE && now - quarantinedUntilNanos < 0;
    }

    void quarantineUntil(long nanos) {
        quarantinedUntilNanos = nanos;
        failedSubmissions.clear();
    }

    /**
     * Takes a run that failed or stood still. A submission may be at fault itself, so submissions
     * are counted and not runs.
     *
     * @return of how many submissions runs have failed here since the last success
     */
    int noteFailure(SubmissionId submission) {
        failedSubmissions.add(submission);
        return failedSubmissions.size();
    }

    void noteSuccess() {
        failedSubmissions.clear();
        quarantinedUntilNanos = Long.MIN_VALUE;
    }

    boolean hasLabel(String label) {
        return labels.contains(label);
    }

    Optional<Placement> placement(TaskId task) {
        return Optional.ofNullable(placements.get(task));
    }

    void add(Placement placement) {
        placements.put(placement.task().id(), placement);
        placement.task().placements().add(placement);
        used = used.plus(placement.task().step().spec().reserved());
        if (placement.task().step().spec().longRunning()) {
            longRunning++;
        }
    }

    void remove(Placement placement) {
        if (placements.remove(placement.task().id(), placement)) {
            placement.task().placements().remove(placement);
            used = used.minus(placement.task().step().spec().reserved());
            if (placement.task().step().spec().longRunning()) {
                longRunning--;
            }
        }
    }

    int tasksOf(StepId step) {
        int count = 0;
        for (TaskId task : placements.keySet()) {
            if (task.step().equals(step)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of the last end that the worker has listed. */
    public long lastEnd() {
        return lastEnd;
    }

    /** Takes note of an end that may be acknowledged once a submission's change is stored. */
    void noteEnd(long number, Optional<TrackedSubmission> submission) {
        lastEnd = number;
        long change = submission.map(TrackedSubmission::changes).orElse(0L);
        pendingEnds.add(new PendingEnd(number, submission, change));
    }

    /** Returns the number up to which the worker may forget the ends that it lists. */
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
