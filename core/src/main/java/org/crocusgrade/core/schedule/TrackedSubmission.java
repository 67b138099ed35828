package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskId;

/**
 * An accepted submission and its progress.
 *
 * <p>Each durable change increments {@link #changes()}. An end is reported to callers, and
 * acknowledged to workers, only once {@link #stored()} shows that the store has acknowledged the
 * change.
 *
 * <p>A schedule of a year has many occurrences, few of which are due. Only those are held that are
 * due or have begun, and are not done, so that the memory grows with the work that is due. Tasks of
 * an ended submission are held only until its end is stored.
 */
public final class TrackedSubmission {
    /** Number of workers with failed runs that are remembered; more make no difference. */
    private static final int MAX_FAILED_ON = 3;

    private final Set<WorkerId> failedOn = new HashSet<>();
    private final SubmissionId id;
    private final QueueId queue;
    private final Optional<CustomerId> customer;
    private final SubmissionSpec spec;
    private final int maxAttempts;
    private final Instant accepted;
    private final long acceptedNanos;
    private final boolean inherited;
    private final NavigableMap<Integer, List<TrackedStep>> open = new TreeMap<>();
    private final BitSet doneOccurrences = new BitSet();
    private int nextOccurrence;
    private int openTasks;
    private SubmissionState outcome = SubmissionState.QUEUED;
    private SubmissionState storedOutcome = SubmissionState.QUEUED;
    private Optional<Instant> ended = Optional.empty();
    private boolean begun;
    private long changes;
    private long stored;
    private long openSteps;
    private long firstAttemptNanos;
    private boolean beyondRate;
    private CustomerUse customerUse = new CustomerUse();

    /**
     * Makes a submission without progress.
     *
     * @param customer the customer on whose behalf it was submitted; empty if the queue is open to
     *     all or the configuration names no customers
     * @param accepted when it was accepted, in wall-clock time as stored
     * @param acceptedNanos the same on the monotonic clock, as far as it is known
     * @param inherited whether an earlier owner may have started tasks of it
     */
    public TrackedSubmission(
            SubmissionId id,
            QueueId queue,
            Optional<CustomerId> customer,
            SubmissionSpec spec,
            int maxAttempts,
            Instant accepted,
            long acceptedNanos,
            boolean inherited) {
        this.id = Objects.requireNonNull(id);
        this.queue = Objects.requireNonNull(queue);
        this.customer = Objects.requireNonNull(customer);
        this.spec = Objects.requireNonNull(spec);
        this.maxAttempts = maxAttempts;
        this.accepted = Objects.requireNonNull(accepted);
        this.acceptedNanos = acceptedNanos;
        this.firstAttemptNanos = acceptedNanos;
        this.inherited = inherited;
        openSteps = (long) spec.occurrences() * spec.steps().size();
        if (spec.recurrence().isEmpty()) {
            steps(0);
        }
    }

    /** Returns the steps of an occurrence that is not done, which is held from then on. */
    private List<TrackedStep> steps(int occurrence) {
        List<TrackedStep> held = open.get(occurrence);
        if (held == null) {
            held = newSteps(occurrence);
            open.put(occurrence, held);
            openTasks += spec.tasksPerOccurrence();
        }
        return held;
    }

    private List<TrackedStep> newSteps(int occurrence) {
        List<TrackedStep> steps = new ArrayList<>(spec.steps().size());
        for (int s = 0; s < spec.steps().size(); s++) {
            steps.add(new TrackedStep(this, new StepId(id, occurrence, s), spec.steps().get(s)));
        }
        return List.copyOf(steps);
    }

    /**
     * Holds the occurrences that are due, in their order, while it holds fewer than {@code room}
     * tasks; the first that is not done is held in any case. The others follow when it has ended.
     */
    void openDue(Instant wall, long room) {
        if (spec.recurrence().isEmpty() || outcome.isFinal()) {
            return;
        }
        while (nextOccurrence < spec.occurrences()
                && !wall.isBefore(spec.recurrence().get().due(nextOccurrence))
                && (open.isEmpty() || openTasks < room)) {
            if (!doneOccurrences.get(nextOccurrence)) {
                steps(nextOccurrence);
            }
            nextOccurrence++;
        }
    }

    /** Returns how many tasks are held: those of the occurrences that are open. */
    int openTasks() {
        return openTasks;
    }

    public SubmissionId id() {
        return id;
    }

    /** Returns the queue through which it was submitted. */
    public QueueId queue() {
        return queue;
    }

    /** Returns the customer on whose behalf it was submitted. */
    public Optional<CustomerId> customer() {
        return customer;
    }

    public SubmissionSpec spec() {
        return spec;
    }

    /** Returns what all tasks of the submission's customer demand that run or may run here. */
    public Resources customerRunning() {
        return customerUse.running();
    }

    CustomerUse customerUse() {
        return customerUse;
    }

    /** Sets where the runs of the customer's tasks are counted; to be called before any begins. */
    void setCustomerUse(CustomerUse use) {
        customerUse = use;
    }

    /** Returns the number of failed runs after which a task fails its submission. */
    public int maxAttempts() {
        return maxAttempts;
    }

    public Instant accepted() {
        return accepted;
    }

    /** Returns when it was accepted, in nanoseconds on the monotonic clock. */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /** Sets what was decided on admission; an owner that takes over does not know it. */
    public void setAdmission(AdmissionDecision decision) {
        firstAttemptNanos = decision.firstAttemptNanos();
        beyondRate = decision.beyondRate();
    }

    /** Returns when its first attempt arrived, in nanoseconds on the monotonic clock. */
    public long firstAttemptNanos() {
        return firstAttemptNanos;
    }

    /** Returns whether its customer had used up its rate when it arrived. */
    public boolean isBeyondRate() {
        return beyondRate;
    }

    /** Returns whether an earlier owner may have started tasks of it. */
    public boolean isInherited() {
        return inherited;
    }

    /**
     * Returns the steps of each occurrence that is held: the only one, or those that are due or
     * have begun, and are not done.
     */
    public List<List<TrackedStep>> occurrences() {
        return List.copyOf(open.values());
    }

    /** Returns the same without a copy; no occurrence may begin or end while it is used. */
    Collection<List<TrackedStep>> openOccurrences() {
        return open.values();
    }

    /** Returns the numbers of the occurrences of a recurring submission that are done. */
    public IntStream doneOccurrences() {
        return doneOccurrences.stream();
    }

    /**
     * Returns the task with the given id, if the submission has it and neither its occurrence nor
     * the submission is over.
     */
    public Optional<Task> task(TaskId taskId) {
        StepId step = taskId.step();
        if (storedOutcome.isFinal()
                || doneOccurrences.get(step.occurrence())
                || step.occurrence() >= spec.occurrences()
                || step.step() >= spec.steps().size()
                || taskId.index() >= spec.steps().get(step.step()).tasks()) {
            return Optional.empty();
        }
        TrackedStep tracked = steps(step.occurrence()).get(step.step());
        return Optional.of(tracked.tasks().get(taskId.index()));
    }

    /** Returns the state in the memory of the owner; it may not be durable yet. */
    public SubmissionState outcome() {
        return outcome;
    }

    /** Returns the state as reported to callers, who see an end only once it is durable. */
    public SubmissionState visibleState() {
        if (storedOutcome.isFinal()) {
            return storedOutcome;
        }
        return begun ? SubmissionState.RUNNING : SubmissionState.QUEUED;
    }

    /** Returns when it ended, if it has. */
    public Optional<Instant> ended() {
        return ended;
    }

    /** Returns whether a task has begun. */
    public boolean hasBegun() {
        return begun;
    }

    /** Returns the number of the last durable change. */
    public long changes() {
        return changes;
    }

    /** Returns the number of the last change that the store has acknowledged. */
    public long stored() {
        return stored;
    }

    /**
     * Records that the store has acknowledged all changes up to {@code change}, with the state then
     * stored.
     */
    public void setStored(long change, SubmissionState state) {
        stored = Math.max(stored, change);
        if (state.isFinal()) {
            storedOutcome = state;
            releaseTasks();
        }
    }

    /** Lets go of the tasks: no run is wanted any more, and the record of the end is stored. */
    private void releaseTasks() {
        open.clear();
        openTasks = 0;
    }

    /** Restores the state stored by an earlier owner. */
    public void restore(SubmissionState state, Optional<Instant> endedAt, boolean hasBegun) {
        if (state.isFinal()) {
            outcome = state;
            storedOutcome = state;
            ended = endedAt;
            releaseTasks();
        }
        begun |= hasBegun;
    }

    /** Ends the submission; has no effect if it has ended already. */
    public void end(SubmissionState state, Instant at) {
        if (outcome.isFinal()) {
            return;
        }
        outcome = state;
        ended = Optional.of(at);
        changes++;
    }

    /**
     * Marks a task as done, also on loading from the store; returns whether it was not done before.
     */
    public boolean complete(TrackedStep step, Task task) {
        if (!step.complete(task)) {
            return false;
        }
        if (step.isDone()) {
            openSteps--;
            releaseIfDone(step.id().occurrence());
        }
        return true;
    }

    private void releaseIfDone(int occurrence) {
        List<TrackedStep> steps = open.get(occurrence);
        boolean recurs = spec.recurrence().isPresent();
        if (recurs && steps != null && steps.stream().allMatch(TrackedStep::isDone)) {
            open.remove(occurrence);
            openTasks -= spec.tasksPerOccurrence();
            doneOccurrences.set(occurrence);
        }
    }

    /** Returns whether the tasks of all steps have completed. */
    public boolean isAllDone() {
        return openSteps == 0;
    }

    /**
     * Records that a run failed on a worker; returns on how many other workers runs have failed, at
     * most {@link #MAX_FAILED_ON}.
     */
    int recordFailureOn(WorkerId worker) {
        boolean known = failedOn.contains(worker);
        int others = failedOn.size() - (known ? 1 : 0);
        if (!known && failedOn.size() < MAX_FAILED_ON) {
            failedOn.add(worker);
        }
        return others;
    }

    void setBegun() {
        begun = true;
    }

    void markChanged() {
        changes++;
    }

    /**
     * Returns whether a step's tasks may run: the occurrence is due, and all steps that it depends
     * on are done.
     */
    boolean isReady(TrackedStep step, Instant wall) {
        int k = step.id().occurrence();
        if (spec.recurrence().isPresent() && wall.isBefore(spec.recurrence().get().due(k))) {
            return false;
        }
        List<TrackedStep> steps = open.get(k);
        for (int before : step.spec().after()) {
            if (steps != null && !steps.get(before).isDone()) {
                return false;
            }
        }
        return true;
    }
}
