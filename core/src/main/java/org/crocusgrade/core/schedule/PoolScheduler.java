package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskRun;

/**
 * Schedules the tasks of one pool. Not thread-safe; the time is passed in with each call.
 *
 * <p>The safety of runs rests on {@link Placement}: a task gets a new run only when it has no
 * placement left, and a placement is removed only on proof that its run has ended or can never
 * begin in the same incarnation of its worker. While a later one may begin it, the task is bound to
 * that worker (see {@link OpenStarts}). The only exception are tasks of steps that allow
 * overlapping runs, which may have two placements, on different workers (see {@link
 * Task#allowsAnotherRun}).
 */
public final class PoolScheduler {
    /** The delay before a task whose start was refused is tried again, in nanoseconds. */
    private static final long REFUSED_PAUSE_NANOS = 100_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolState pool;
    private final RunTimeModel times = new RunTimeModel();
    private final WorkEstimator estimator = new WorkEstimator(times);
    private final PoolAdmission admission;
    private final CrashTracker crashes;
    private final ReportProcessor reports;
    private final StopPlanner stops;
    private final StartPlanner starts;
    private final IsolationPlanner isolation;
    private final CopyPlanner copies;
    private final AdvicePlanner advicePlanner;
    private final Pacer pacer;
    private final Supplier<CustomerDirectory> customers;
    private final SubmissionRanking ranking;
    private final CustomerShares shares = new CustomerShares();
    private final OrderWindow window = new OrderWindow();
    private final CustomerDemand demand;
    private final PoolDemand poolDemand;
    private StartLimits limits = StartLimits.NONE;

    /**
     * Makes a scheduler without submissions and workers, for a configuration without customers.
     *
     * @param term the number of the ownership term, counted from 1
     * @param routes finds the queues of submissions
     */
    public PoolScheduler(long term, RouteLookup routes) {
        this(term, routes, () -> CustomerDirectory.NONE);
    }

    /**
     * Makes a scheduler without submissions and workers.
     *
     * @param term the number of the ownership term, counted from 1
     * @param routes finds the queues of submissions
     * @param customers returns the customers of the configuration in force
     */
    public PoolScheduler(long term, RouteLookup routes, Supplier<CustomerDirectory> customers) {
        this(term, routes, customers, Optional.empty());
    }

    /**
     * Makes a scheduler that may assign workers in another order than its own ranking.
     *
     * @param order the other order; empty for the ranking of this package
     */
    PoolScheduler(
            long term,
            RouteLookup routes,
            Supplier<CustomerDirectory> customers,
            Optional<StartOrder> order) {
        this.customers = Objects.requireNonNull(customers);
        pool = new PoolState(term, routes);
        crashes = new CrashTracker(pool);
        reports = new ReportProcessor(pool, times, crashes);
        pacer = new Pacer(pool);
        stops = new StopPlanner(pool, reports, times, pacer);
        ranking = new SubmissionRanking(pool, estimator, shares);
        admission = new PoolAdmission(pool, estimator, ranking, customers);
        starts = new StartPlanner(pool, order.orElse(ranking), pacer);
        isolation = new IsolationPlanner(pool, crashes, starts, new Placer(pool, pacer));
        copies = new CopyPlanner(pool, times, pacer);
        advicePlanner = new AdvicePlanner(pool, ranking);
        demand = new CustomerDemand(pool, starts);
        poolDemand = new PoolDemand(pool, estimator, starts);
    }

    /** Sets the limits of what customers may have running; without them, nothing is limited. */
    public void setLimits(StartLimits next) {
        limits = next;
        starts.setLimits(next);
        copies.setLimits(next);
    }

    /** Sets how much memory the submissions may use; without it, nothing is limited. */
    public void setHeapShare(HeapShare share) {
        pool.setHeapShare(share);
    }

    /** Adds a submission that is stored. */
    public void add(TrackedSubmission submission) {
        admission.onAccepted(submission.id());
        pool.add(submission);
        crashes.add(submission);
        submission.occurrences().stream()
                .flatMap(List::stream)
                .filter(TrackedStep::allowsCopies)
                .flatMap(s -> s.tasks().stream())
                .forEach(reports::watchIfExhausted);
    }

    /** Removes a submission whose record was deleted. */
    public void remove(TrackedSubmission submission) {
        pool.remove(submission);
    }

    public Optional<TrackedSubmission> find(SubmissionId id) {
        return pool.find(id);
    }

    public Collection<TrackedSubmission> submissions() {
        return pool.submissions();
    }

    /** Cancels a submission unless it has ended. */
    public void cancel(TrackedSubmission submission, Instant wall) {
        submission.end(SubmissionState.CANCELLED, wall);
        pool.markDirty(submission);
    }

    /** Returns the submissions with changes to store. */
    public Set<TrackedSubmission> dirtySubmissions() {
        return pool.dirtySubmissions();
    }

    /**
     * Records that no run of an earlier owner can still be active without being tracked here. From
     * then on, tasks of inherited submissions may start.
     */
    public void setSettled() {
        pool.setSettled();
    }

    /**
     * Keeps long-running tasks in place until a time, while stop orders of the former owner take
     * effect.
     */
    public void holdEvacuationsUntil(long nanos) {
        stops.holdEvacuationsUntil(nanos);
    }

    /**
     * Returns whether no run of an earlier owner can still be active without being tracked here.
     */
    public boolean isSettled() {
        return pool.isSettled();
    }

    /**
     * Adds a worker. An earlier incarnation of the same name must have been removed with {@link
     * #removeWorker}.
     */
    public void addWorker(WorkerNode worker) {
        pool.workers().put(worker.id(), worker);
    }

    public Collection<WorkerNode> workers() {
        return pool.workers().values();
    }

    public Optional<WorkerNode> worker(WorkerId id) {
        return Optional.ofNullable(pool.workers().get(id));
    }

    /** Removes an incarnation of a worker that has certainly ended, and with it all its runs. */
    public void removeWorker(WorkerNode worker) {
        crashes.onEnded(worker);
        reports.removeRuns(worker);
        pool.workers().remove(worker.id(), worker);
    }

    /**
     * Marks an incarnation of a worker as ended while the next one may already be running under the
     * same name. A run that no report has shown, or that the next incarnation may still start,
     * blocks its task until that incarnation has reported.
     *
     * @return whether such runs are left
     */
    public boolean incarnationEnded(WorkerNode worker) {
        crashes.onEnded(worker);
        worker.removeRuns(p -> p.isListed() && !pool.openStarts().isOpen(p));
        worker.setSilent(true);
        worker.setUsable(false);
        return !worker.placements().isEmpty();
    }

    /**
     * Replaces an incarnation of a worker by the next one, which inherits the start orders that no
     * report has confirmed.
     */
    public void addNextIncarnation(WorkerNode last, WorkerNode next, long now) {
        for (Placement placement : List.copyOf(last.placements())) {
            last.remove(placement);
            Placement carried =
                    new Placement(
                            placement.task(), next, placement.run(), placement.checkpoint(), now);
            carried.setUncertain(now);
            next.add(carried);
        }
        removeWorker(last);
        addWorker(next);
    }

    /**
     * Removes all runs of a worker after it is certain that they have ended; the worker may still
     * be running.
     */
    public void clearRuns(WorkerNode worker) {
        reports.removeRuns(worker);
    }

    /**
     * Removes the runs that have ended with the leases of a worker, but not those that its next
     * incarnation may have started, or may still start.
     */
    public void removeConfinedRuns(WorkerNode worker) {
        worker.removeRuns(p -> p.isConfined() && !pool.openStarts().isOpen(p));
    }

    /** Removes all runs of a worker that cannot come back under its name. */
    public void onWorkerGone(WorkerNode worker) {
        pool.openStarts().onGone(worker.id());
        clearRuns(worker);
    }

    /**
     * Records that a worker gave no answer to a call for a start, which is stored: the next owner
     * must not start the task on another worker either.
     */
    public void onStartUnanswered(Placement placement) {
        if (pool.openStarts().onUnanswered(placement)) {
            placement.task().step().submission().markChanged();
            pool.markDirty(placement.task().step().submission());
        }
    }

    /** Returns the starts of which a call may still be carried out. */
    public OpenStarts openStarts() {
        return pool.openStarts();
    }

    /** Returns whether tasks wait for their isolated run to be announced in the store. */
    public boolean hasSuspects() {
        return !crashes.suspects().isEmpty();
    }

    /**
     * Records that a worker has closed or refused a connection, as it does when it crashes. To be
     * called once until it answers again.
     */
    public void onConnectionLost(WorkerNode worker, long now) {
        crashes.onConnectionLost(worker, now);
    }

    /**
     * Processes a report of a worker.
     *
     * @param requestedNanos when the report was requested, in nanoseconds on the monotonic clock
     * @param running the runs that the worker lists as running
     * @param ends the ends of runs that the worker lists
     * @param allEnds whether the worker has listed all ends that are not acknowledged
     */
    public void onReport(
            WorkerNode worker,
            long requestedNanos,
            List<TaskRun> running,
            List<TaskEnd> ends,
            boolean allEnds,
            long now,
            Instant wall) {
        crashes.onAnswer(worker);
        reports.onReport(worker, requestedNanos, running, ends, allEnds, now, wall);
    }

    /** Processes the result of a start order. */
    public void onStartAnswer(Placement placement, StartAnswer answer, long now) {
        if (answer != StartAnswer.UNKNOWN && answer != StartAnswer.NOT_SENT) {
            window.onAnswer(now - placement.orderedNanos(), now);
        }
        if (answer == StartAnswer.NOT_SENT) {
            worker(placement.worker().id()).ifPresent(w -> w.removeUnsent(placement));
        }
        if (placement.phase() != Phase.STARTING) {
            return;
        }
        switch (answer) {
            case STARTED -> placement.setRunning(now);
            case UNKNOWN -> placement.setUncertain(now);
            case NO_TICKET -> {
                placement.task().step().advice().removeTicket(placement.worker());
                refused(placement, now);
            }
            default -> refused(placement, now);
        }
    }

    private void refused(Placement placement, long now) {
        placement.worker().remove(placement);
        crashes.onRunOver(placement.task(), placement.run());
        placement.task().waitUntil(now + REFUSED_PAUSE_NANOS);
        stopGang(placement, now);
    }

    /** Returns at most {@code limit} requests to send to the advice service now. */
    public List<AdviceRequest> adviceRequests(int limit, long now, Instant wall) {
        return advicePlanner.plan(limit, now, wall);
    }

    /** Processes the answer to an advice request; empty if none came. */
    public void onAdvice(AdviceRequest request, Optional<Advice> answer, long now) {
        advicePlanner.onAnswer(request, answer, now);
    }

    /** Records whether the worker answered a stop order. */
    public void onStopAnswer(Placement placement, boolean answered, long now) {
        placement.stopAnswered(answered, now);
    }

    /** Records whether the worker answered an order that sets the CPU share of a run. */
    public void onPaceAnswer(Placement placement, int percent, boolean answered) {
        placement.paceAnswered(percent, answered);
    }

    /**
     * Returns the time until the first of the batch runs of a worker is expected to end, 0 if it is
     * overdue; empty if there is none.
     */
    public Optional<Duration> nextEnd(WorkerNode worker, long now) {
        double next = Double.POSITIVE_INFINITY;
        for (Placement placement : worker.placements()) {
            TrackedStep step = placement.task().step();
            if (!step.spec().longRunning()) {
                double millis = times.predictMillis(step.submission().queue(), step.spec());
                double age = (now - placement.orderedNanos()) / NANOS_PER_MILLI;
                next = Math.min(next, Math.max(0, millis - age));
            }
        }
        return Double.isInfinite(next)
                ? Optional.empty()
                : Optional.of(Duration.ofMillis((long) next));
    }

    /** Returns what was found since the last call, for the log. */
    public List<Notice> takeNotices() {
        List<Notice> taken = new ArrayList<>(crashes.takeNotices());
        taken.addAll(reports.takeNotices());
        return taken;
    }

    /** Returns the orders to send now. */
    public List<Order> plan(long now, Instant wall) {
        pool.openDueOccurrences(wall);
        crashes.update(now);
        crashes.takeExhausted().forEach(reports::watchIfExhausted);
        reports.failExhausted(wall);
        admission.updateCapacity(now);
        shares.update(pool, customers.get(), now, wall);
        int room = window.room(ordersInFlight(now));
        List<Order> orders = new ArrayList<>(stops.plan(now, room));
        int startRoom = room - orders.size();
        orders.addAll(pacer.plan(now));
        List<Order> startOrders = new ArrayList<>(isolation.plan(now, wall, startRoom));
        startOrders.addAll(starts.plan(now, wall, startRoom - startOrders.size()));
        window.setLimiting(startOrders.size() >= startRoom);
        orders.addAll(startOrders);
        orders.addAll(copies.plan(now, wall, startRoom - startOrders.size()));
        return orders;
    }

    /** Returns which customers have begun or ceased to be above their share since the last call. */
    public List<ShareChange> takeShareChanges() {
        return shares.takeChanges();
    }

    private int ordersInFlight(long now) {
        int count = 0;
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                count += placement.isAwaitingAnswer(now - OrderWindow.TARGET_NANOS) ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Decides whether a submission is accepted. Long-running and recurring submissions always are.
     * Work that is not long-running is counted as offered load in both cases.
     */
    public AdmissionDecision checkAdmission(AdmissionRequest request, long now) {
        return admission.decide(request, now);
    }

    /**
     * Returns the processors left to batch work after the reservations of long-running tasks, in
     * cores.
     */
    public double batchCores(long now) {
        return batchCapacity(now).cores();
    }

    /** Returns the capacity left to batch work after the reservations of long-running tasks. */
    public BatchCapacity batchCapacity(long now) {
        return pool.batchCapacity(now);
    }

    /**
     * Returns the processors needed to do the work at the rate at which it arrives, in thousandths
     * of a core.
     */
    public long offeredMilliCores(long now) {
        return admission.arrivals().milliCores(now);
    }

    /** Returns how many submissions have arrived within the window of {@link ArrivalMeter}. */
    public int offeredSubmissions(long now) {
        return admission.arrivals().submissions(now);
    }

    /** Returns what the tasks of the pool use and wait for. */
    public PoolDemand poolDemand() {
        return poolDemand;
    }

    /** Returns what all tasks of a customer demand that run or may run. */
    public Resources running(CustomerId customer) {
        return pool.running(customer);
    }

    /**
     * Returns what the startable tasks of customers demand, no more for each customer than what the
     * workers have free, and which customers have tasks that wait only for their limit.
     */
    public CustomerDemand.Snapshot demand(Set<CustomerId> customers, long now, Instant wall) {
        return demand.of(customers, now, wall);
    }

    /**
     * Returns why startable tasks of a submission do not start although there may be capacity for
     * them; empty if the limit of its customer does not keep them.
     */
    public Optional<String> waitReason(TrackedSubmission submission, long now, Instant wall) {
        return limits.limit(submission)
                .filter(l -> demand.isAtLimit(submission, now, wall))
                .map(l -> CustomerDemand.describe(submission.customerRunning(), l));
    }

    /**
     * Stops the other members of a gang immediately: they would wait for a member that will not
     * start.
     */
    private static void stopGang(Placement refused, long now) {
        TrackedStep step = refused.task().step();
        if (!step.spec().gang()) {
            return;
        }
        for (Task member : step.tasks()) {
            for (Placement placement : member.placements()) {
                if (placement.run() == refused.run()) {
                    placement.requireStop(StopReason.GANG_INCOMPLETE, now);
                }
            }
        }
    }
}
