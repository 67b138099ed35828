package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.TaskId;

/** The submissions and workers of one pool, as cached by its owner. */
final class PoolState {
    /** Number of run numbers reserved for each ownership term. */
    private static final long RUNS_PER_TERM = 1_000_000;

    private static final double MILLI_CORES_PER_CORE = 1000;

    private final Map<SubmissionId, TrackedSubmission> submissions = new LinkedHashMap<>();
    private final Set<TrackedSubmission> active = new LinkedHashSet<>();
    private final Set<TrackedSubmission> dirtySubmissions = new LinkedHashSet<>();
    private final Map<WorkerId, WorkerNode> workers = new LinkedHashMap<>();
    private final Map<CustomerId, CustomerUse> customers = new HashMap<>();
    private final OpenStarts openStarts = new OpenStarts();
    private final RouteLookup routes;
    private final long runBase;
    private HeapShare heapShare = HeapShare.UNLIMITED;
    private boolean settled;

    /**
     * Makes an empty pool.
     *
     * @param term the number of the ownership term, counted from 1
     * @param routes finds the queues of submissions
     */
    PoolState(long term, RouteLookup routes) {
        this.routes = Objects.requireNonNull(routes);
        runBase = (term - 1) * RUNS_PER_TERM;
    }

    /**
     * Returns whether no run of an earlier owner can still be active without being tracked here.
     */
    boolean isSettled() {
        return settled;
    }

    void setSettled() {
        settled = true;
    }

    void add(TrackedSubmission submission) {
        submissions.put(submission.id(), submission);
        submission.customer().ifPresent(c -> submission.setCustomerUse(use(c)));
        if (!submission.outcome().isFinal()) {
            active.add(submission);
        }
    }

    void remove(TrackedSubmission submission) {
        submissions.remove(submission.id());
        active.remove(submission);
        dirtySubmissions.remove(submission);
    }

    private CustomerUse use(CustomerId customer) {
        return customers.computeIfAbsent(customer, c -> new CustomerUse());
    }

    /** Returns what the tasks of a customer demand that run or may run. */
    Resources running(CustomerId customer) {
        CustomerUse use = customers.get(customer);
        return use == null ? Resources.NONE : use.running();
    }

    Optional<TrackedSubmission> find(SubmissionId id) {
        return Optional.ofNullable(submissions.get(id));
    }

    Optional<Task> task(TaskId id) {
        return find(id.step().submission()).flatMap(s -> s.task(id));
    }

    QueueRoute route(TrackedSubmission submission) {
        return routes.route(submission);
    }

    void setHeapShare(HeapShare share) {
        heapShare = share;
    }

    /**
     * Holds the tasks of the occurrences that are due, as far as the memory for them allows. The
     * first occurrence of each submission that is not done is always held.
     */
    void openDueOccurrences(Instant wall) {
        long openTasks = 0;
        for (TrackedSubmission submission : active) {
            openTasks += submission.spec().recurrence().isPresent() ? submission.openTasks() : 0;
        }
        for (TrackedSubmission submission : active) {
            int before = submission.openTasks();
            submission.openDue(wall, heapShare.maxOpenTasks() - openTasks + before);
            openTasks += submission.openTasks() - before;
        }
    }

    Collection<TrackedSubmission> submissions() {
        return submissions.values();
    }

    Set<TrackedSubmission> active() {
        return active;
    }

    void markDirty(TrackedSubmission submission) {
        dirtySubmissions.add(submission);
        if (submission.outcome().isFinal()) {
            active.remove(submission);
        }
    }

    Set<TrackedSubmission> dirtySubmissions() {
        return dirtySubmissions;
    }

    Map<WorkerId, WorkerNode> workers() {
        return workers;
    }

    OpenStarts openStarts() {
        return openStarts;
    }

    /** Returns the worker of the pool that keeps room for a task, if it accepts runs. */
    Optional<WorkerNode> claimOf(Task task, long now) {
        return task.claimedOn()
                .filter(w -> workers.get(w.id()) == w)
                .filter(w -> w.claims().contains(task) && w.acceptsRuns(now));
    }

    /** Returns what is free on the workers that accept runs. */
    Resources free(long now) {
        Resources sum = Resources.NONE;
        for (WorkerNode worker : workers.values()) {
            sum = worker.acceptsRuns(now) ? sum.plus(worker.free().atLeast(Resources.NONE)) : sum;
        }
        return sum;
    }

    /** Returns the capacity left to batch work after the reservations of long-running tasks. */
    BatchCapacity batchCapacity(long now) {
        Resources left = Resources.NONE;
        for (WorkerNode worker : workers.values()) {
            if (!worker.countsTowardCapacity(now)) {
                continue;
            }
            Resources free = worker.capacity().minus(worker.longRunningReserved());
            left = left.plus(free.atLeast(Resources.NONE));
        }
        return new BatchCapacity(left.milliCores() / MILLI_CORES_PER_CORE, left.memoryMb());
    }

    long nextRun(Task task) {
        return Math.max(runBase, task.lastRun()) + 1;
    }
}
