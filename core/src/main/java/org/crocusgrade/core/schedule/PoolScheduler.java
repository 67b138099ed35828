package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.schedule.Placement.Phase;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskRun;

/**
 * Schedules one pool. For one thread; the time comes in with each call.
 *
 * <p>The safety of runs rests on {@link Placement}: a task gets a new run only when none of its
 * placements is left, and a placement is left only on proof that the run has ended or can never
 * begin.
 */
public final class PoolScheduler {
    private static final long MILLI = 1000;

    /** The pause before a refused task is tried again, in nanoseconds. */
    private static final long REFUSED_PAUSE_NANOS = 100_000_000L;

    private final PoolState pool;
    private final RunTimeModel times = new RunTimeModel();
    private final Outlook outlook = new Outlook(times);
    private final Admission admission = new Admission(outlook);
    private final ReportIntake intake;
    private final StopPlanner stops;
    private final StartPlanner starts;
    private final AdvicePlanner questions;
    private final Pacer pacer;
    private final ArrivalMeter arrivals = new ArrivalMeter();
    private final CapacityMemory capacity = new CapacityMemory();

    /**
     * Makes a scheduler without submissions and workers.
     *
     * @param term how often the pool has been taken over, counted from 1
     * @param routes finds the queues of submissions
     */
    public PoolScheduler(long term, RouteLookup routes) {
        pool = new PoolState(term, routes);
        intake = new ReportIntake(pool, times);
        pacer = new Pacer(pool);
        stops = new StopPlanner(pool, intake, times, pacer);
        starts = new StartPlanner(pool, outlook, pacer);
        questions = new AdvicePlanner(pool, outlook);
    }

    /** Takes a submission that is stored. */
    public void add(TrackedSubmission submission) {
        pool.add(submission);
    }

    /** Forgets a submission whose record is gone. */
    public void forget(TrackedSubmission submission) {
        pool.forget(submission);
    }

    /** Returns a submission. */
    public Optional<TrackedSubmission> find(SubmissionId id) {
        return pool.find(id);
    }

    /** Returns all submissions. */
    public Collection<TrackedSubmission> submissions() {
        return pool.submissions();
    }

    /** Cancels a submission unless it has ended. */
    public void cancel(TrackedSubmission submission, Instant wall) {
        submission.end(SubmissionState.CANCELLED, wall);
        pool.markDirty(submission);
    }

    /** Returns the submissions with changes to store. */
    public Set<TrackedSubmission> dirty() {
        return pool.dirty();
    }

    /** Says that no run of an earlier owner can be going on unseen. */
    public void setSettled() {
        pool.setSettled();
    }

    /** Moves no long-running task before a time, while stops of a former owner take effect. */
    public void holdEvacuationsUntil(long nanos) {
        stops.holdEvacuationsUntil(nanos);
    }

    /** Returns whether no run of an earlier owner can be going on unseen. */
    public boolean isSettled() {
        return pool.isSettled();
    }

    /** Adds a worker; one of the same name must have been declared dead before. */
    public void addWorker(WorkerNode worker) {
        pool.workers().put(worker.id(), worker);
    }

    /** Returns the workers. */
    public Collection<WorkerNode> workers() {
        return pool.workers().values();
    }

    /** Returns a worker. */
    public Optional<WorkerNode> worker(WorkerId id) {
        return Optional.ofNullable(pool.workers().get(id));
    }

    /** Takes the certain end of a worker's incarnation: all its runs have ended. */
    public void workerDied(WorkerNode worker) {
        intake.onDeath(worker);
        pool.workers().remove(worker.id(), worker);
    }

    /**
     * Takes the certain end of a worker's incarnation when it may live on under its name. Runs that
     * no list has shown may be the next incarnation's, so their tasks stay until that has been
     * asked.
     *
     * @return whether such orders are left
     */
    public boolean incarnationEnded(WorkerNode worker) {
        for (Placement placement : List.copyOf(worker.placements())) {
            if (placement.isListed()) {
                worker.remove(placement);
            }
        }
        worker.setSilent(true);
        worker.setUsable(false);
        return !worker.placements().isEmpty();
    }

    /** Adds the next incarnation of a worker with the orders of the last that have no answer. */
    public void addNextIncarnation(WorkerNode last, WorkerNode next, long now) {
        for (Placement placement : List.copyOf(last.placements())) {
            last.remove(placement);
            Placement carried =
                    new Placement(
                            placement.task(), next, placement.run(), placement.checkpoint(), now);
            carried.enter(Phase.UNCERTAIN, now);
            next.add(carried);
        }
        workerDied(last);
        addWorker(next);
    }

    /** Takes the certain end of all runs of a worker that may still live. */
    public void clearRuns(WorkerNode worker) {
        intake.onDeath(worker);
    }

    /** Takes a worker's lists of runs and ends. */
    public void onReport(
            WorkerNode worker,
            long askedNanos,
            List<TaskRun> running,
            List<TaskEnd> ends,
            long now,
            Instant wall) {
        intake.onReport(worker, askedNanos, running, ends, now, wall);
    }

    /** Takes the answer to a start. */
    public void onStartAnswer(Placement placement, StartAnswer answer, long now) {
        if (placement.phase() != Phase.STARTING) {
            return;
        }
        switch (answer) {
            case STARTED -> {
                placement.enter(Phase.RUNNING, now);
                placement.task().step().submission().setBegun();
            }
            case UNKNOWN -> placement.enter(Phase.UNCERTAIN, now);
            case NO_TICKET -> {
                placement.task().step().advice().forget(placement.worker());
                refused(placement, now);
            }
            default -> refused(placement, now);
        }
    }

    private static void refused(Placement placement, long now) {
        placement.worker().remove(placement);
        placement.task().waitUntil(now + REFUSED_PAUSE_NANOS);
        stopGang(placement, now);
    }

    /** Returns what the advice service is to be asked now, at most so many questions. */
    public List<AdviceRequest> questions(int most, long now, Instant wall) {
        return questions.plan(most, now, wall);
    }

    /** Takes the answer to a question, or that there is none. */
    public void onAdvice(AdviceRequest question, Optional<Advice> answer, long now) {
        questions.onAnswer(question, answer, now);
    }

    /** Takes the answer, or the lack of one, to a stop. */
    public void onStopAnswer(Placement placement, boolean answered, long now) {
        placement.stopAnswered(answered, now);
    }

    /** Takes the answer, or the lack of one, to the order to work at a share. */
    public void onPaceAnswer(Placement placement, int percent, boolean answered) {
        placement.paceAnswered(percent, answered);
    }

    /** Returns the orders that are due. */
    public List<Order> plan(long now, Instant wall) {
        capacity.countedOn(batchCores(now), now);
        List<Order> orders = new ArrayList<>(stops.plan(now));
        orders.addAll(pacer.plan(now));
        orders.addAll(starts.plan(now, wall));
        return orders;
    }

    /** Decides whether a submission is taken; else returns how long its caller should wait. */
    public Optional<Duration> refuse(QueueRoute route, SubmissionSpec spec, long now) {
        double own = outlook.coreMillis(route.queue(), spec);
        if (!spec.isLongRunning()) {
            arrivals.add(now, own);
        }
        double ahead = 0;
        for (TrackedSubmission other : pool.active()) {
            if (other.spec().isLongRunning()) {
                continue;
            }
            double work = outlook.remainingCoreMillis(other);
            if (work <= own) {
                ahead += work;
            }
        }
        double cores = capacity.countedOn(batchCores(now), now);
        return admission.refuse(route, spec, ahead, cores);
    }

    /** Returns the processors that serve submissions that end, in cores. */
    public double batchCores(long now) {
        long milli = 0;
        for (WorkerNode worker : pool.workers().values()) {
            if (worker.isCountedOn(now)) {
                milli += worker.capacity().milliCores();
                for (Placement placement : worker.placements()) {
                    if (placement.task().step().spec().longRunning()) {
                        milli -= placement.task().step().spec().reserved().milliCores();
                    }
                }
            }
        }
        return (double) Math.max(0, milli) / MILLI;
    }

    /** Returns the work that arrives, in thousandths of a core. */
    public long offeredMilliCores(long now) {
        return arrivals.milliCores(now);
    }

    /** Returns how many submissions have arrived lately. */
    public int offeredSubmissions(long now) {
        return arrivals.submissions(now);
    }

    /** Returns the processors that long-running tasks take, in thousandths of a core. */
    public long longRunningMilliCores() {
        return reservedMilliCores(true);
    }

    /** Returns the processors that tasks of other submissions take, in thousandths of a core. */
    public long batchMilliCores() {
        return reservedMilliCores(false);
    }

    private long reservedMilliCores(boolean longRunning) {
        long sum = 0;
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                StepSpec spec = placement.task().step().spec();
                sum += spec.longRunning() == longRunning ? spec.reserved().milliCores() : 0;
            }
        }
        return sum;
    }

    /** Returns the processors that startable tasks wait for, in thousandths of a core. */
    public long waitingMilliCores(long now, Instant wall) {
        long sum = 0;
        for (TrackedSubmission submission : pool.active()) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                for (Task task : step.tasks()) {
                    if (task.isStartable(now)) {
                        sum += step.spec().reserved().milliCores();
                    }
                }
            }
        }
        return sum;
    }

    /** Returns the work of accepted submissions that end, in core-milliseconds. */
    public double backlogCoreMillis() {
        double sum = 0;
        for (TrackedSubmission submission : pool.active()) {
            if (!submission.spec().isLongRunning()) {
                sum += outlook.remainingCoreMillis(submission);
            }
        }
        return sum;
    }

    /** Members of a gang wait for one that will not come, so they are stopped at once. */
    private static void stopGang(Placement refused, long now) {
        TrackedStep step = refused.task().step();
        if (!step.spec().gang()) {
            return;
        }
        for (Task member : step.tasks()) {
            for (Placement placement : member.placements()) {
                if (placement.run() == refused.run()) {
                    placement.enter(Phase.STOPPING, now);
                }
            }
        }
    }
}
