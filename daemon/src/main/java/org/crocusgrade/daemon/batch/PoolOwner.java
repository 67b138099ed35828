package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.port.WorkerOrders.WorkerReport;
import org.crocusgrade.core.schedule.AdviceRequest;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.StartAnswer;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/**
 * Owns one pool: takes its submissions, schedules them, and alone orders its workers.
 *
 * <p>Why two owners cannot run a task twice: the new owner's token is the revision of its key, so
 * it is higher than the old one's. Before it starts a task that an old owner may have started, each
 * worker has either answered a call with the new token, and so listed its runs and refuses the old
 * owner from then on, or had the time in which every lease that the old owner may have granted runs
 * out. Tasks accepted by the new owner itself need not wait.
 */
final class PoolOwner implements WorkerSession.Listener, RecordWriter.Listener {
    /** How long leases are extended without a sign that the duty is still held. */
    static final Duration EXTEND_WITHOUT_STORE = Duration.ofSeconds(5);

    /**
     * How long after a take-over nothing is started. The holder of the fleet's duty may still act
     * on the last report of the former owner that a host is empty, and asks anew for evacuations.
     */
    private static final Duration FIRST_START = Duration.ofMillis(400);

    /** How long stops of a former owner may take to show, by the platform's longest stop. */
    private static final Duration FORMER_STOPS = Duration.ofMillis(1500);

    /** The pause between an event and the plan that answers it, in milliseconds. */
    private static final long PLAN_PAUSE_MILLIS = 3;

    private final Runtime runtime;
    private final ServiceId service;
    private final Tenure tenure;
    private final QueueBook queues;
    private final DutyView duty;
    private final AdviceDesk advice;
    private final Consumer<String> onRightLost;
    private final PoolScheduler scheduler;
    private final RecordWriter writer;
    private final PoolWorkers poolWorkers;
    private final PoolRequests requests;
    private final long tookOverNanos;
    private boolean loaded;
    private boolean planDue;
    private boolean stopped;
    private long statusSequence;

    PoolOwner(
            Runtime runtime,
            ServiceId service,
            Tenure tenure,
            QueueBook queues,
            DutyView duty,
            AdviceDesk advice,
            Consumer<String> onRightLost) {
        this.runtime = runtime;
        this.service = service;
        this.tenure = tenure;
        this.queues = queues;
        this.duty = duty;
        this.advice = advice;
        this.onRightLost = onRightLost;
        scheduler = new PoolScheduler(tenure.term(), this::route);
        writer = new RecordWriter(runtime, service, tenure, scheduler.dirty(), this);
        requests = new PoolRequests(runtime, service, queues, scheduler, writer, this::planSoon);
        tookOverNanos = runtime.clock().nanoTime();
        if (tenure.term() > 1) {
            scheduler.holdEvacuationsUntil(tookOverNanos + FORMER_STOPS.toNanos());
        }
        poolWorkers = new PoolWorkers(runtime, service, tenure, scheduler, this);
    }

    ServiceId service() {
        return service;
    }

    PoolScheduler scheduler() {
        return scheduler;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Takes what earlier owners have stored, and the workers that were registered after that. */
    void load(List<TrackedSubmission> stored, Map<SubmissionId, Long> revisions) {
        stored.forEach(scheduler::add);
        revisions.forEach(writer::restore);
        loaded = true;
    }

    /** Ends the tenure: orders nothing and writes nothing any more. */
    void stop() {
        stopped = true;
        writer.stop();
        poolWorkers.stop();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Returns what the holder of the fleet's duty needs to know. */
    PoolStatusMessage status() {
        long now = runtime.clock().nanoTime();
        long waiting = scheduler.waitingMilliCores(now, runtime.clock().now());
        PoolStatusMessage.Builder status =
                PoolStatusMessage.newBuilder()
                        .setService(service.value())
                        .setSequence(++statusSequence)
                        .setWaitingMilliCores(waiting)
                        .setBatchMilliCores(scheduler.batchMilliCores() + waiting)
                        .setLongRunningMilliCores(scheduler.longRunningMilliCores())
                        .setBacklogCoreMillis(Math.round(scheduler.backlogCoreMillis()))
                        .setOfferedMilliCores(scheduler.offeredMilliCores(now))
                        .setOfferedSubmissions(scheduler.offeredSubmissions(now));
        for (WorkerSession session : poolWorkers.sessions()) {
            if (session.isFenced()) {
                status.addWorkers(session.status());
            }
        }
        return status.build();
    }

    /** Returns whether all that ended is stored. */
    boolean isIdle() {
        return writer.isIdle();
    }

    /** Takes the workers that are registered, of all pools. */
    void onWorkers(Map<WorkerId, WorkerEntry> registered) {
        if (loaded && !stopped) {
            poolWorkers.onWorkers(registered);
            planSoon();
        }
    }

    /** Sets which workers are to be emptied. */
    void evacuate(Set<WorkerId> workers) {
        poolWorkers.evacuate(workers);
        planSoon();
    }

    /** Takes the workers of the pool's hosts that are up, read after the take-over. */
    void onLivingWorkers(Set<WorkerId> living) {
        poolWorkers.onLivingWorkers(living);
    }

    /** Does what time brings: lapsed leases, due retries, expired records. */
    void tick() {
        if (loaded && !stopped) {
            poolWorkers.tick();
            writer.tick();
            planSoon();
        }
    }

    /** Deletes the records of what nobody may ask for any more. */
    void sweep() {
        Instant now = runtime.clock().now();
        for (TrackedSubmission submission : List.copyOf(scheduler.submissions())) {
            if (writer.isExpired(submission, now)) {
                scheduler.forget(submission);
                writer.expire(submission);
            }
        }
        writer.changed();
    }

    void handle(SubmissionCall call, Consumer<SubmissionReply> reply) {
        if (stopped) {
            reply.accept(SubmissionReply.of(Outcome.NOT_OWNER, "stopped"));
            return;
        }
        if (!loaded) {
            reply.accept(SubmissionReply.of(Outcome.NOT_OWNER, "taking over"));
            return;
        }
        requests.handle(call, reply);
    }

    @Override
    public void onWritten() {
        requests.onWritten();
        poolWorkers.sessions().forEach(WorkerSession::onStored);
    }

    @Override
    public void onExpired(TrackedSubmission submission) {
        scheduler.forget(submission);
    }

    @Override
    public void onRightLost(String reason) {
        if (!stopped) {
            onRightLost.accept(reason);
        }
    }

    // What workers say.

    @Override
    public boolean mayExtend() {
        return duty.isConfirmedWithin(EXTEND_WITHOUT_STORE);
    }

    @Override
    public void onReport(WorkerSession session, long askedNanos, WorkerReport report) {
        long now = runtime.clock().nanoTime();
        Instant wall = runtime.clock().now();
        long known = session.node().lastEnd();
        scheduler.onReport(session.node(), askedNanos, report.running(), report.ends(), now, wall);
        logEnds(session, report.ends(), known);
        writer.changed();
        planSoon();
    }

    private void logEnds(WorkerSession session, List<TaskEnd> ends, long known) {
        for (TaskEnd end : ends) {
            if (end.number() <= known) {
                continue;
            }
            runtime.log().log(
                    Event.RUN_ENDED,
                    "task",
                    end.task(),
                    "run",
                    end.run(),
                    "worker",
                    session.node().id(),
                    "how",
                    end.how());
        }
    }

    @Override
    public void onStartAnswer(
            WorkerSession session, Placement placement, StartAnswer answer, String detail) {
        if (stopped) {
            return;
        }
        if (answer != StartAnswer.STARTED) {
            runtime.log().log(
                    Event.RUN_NOT_STARTED,
                    "task",
                    placement.task().id(),
                    "run",
                    placement.run(),
                    "worker",
                    session.node().id(),
                    "answer",
                    answer,
                    "detail",
                    detail);
        }
        scheduler.onStartAnswer(placement, answer, runtime.clock().nanoTime());
        planSoon();
    }

    @Override
    public void onStopAnswer(Placement placement, boolean answered) {
        scheduler.onStopAnswer(placement, answered, runtime.clock().nanoTime());
    }

    @Override
    public void onPaceAnswer(Order.Pace order, boolean answered) {
        scheduler.onPaceAnswer(order.placement(), order.percent(), answered);
    }

    @Override
    public void onFencedOff(WorkerSession session) {
        onRightLost("worker " + session.node().id() + " has seen a higher token");
    }

    @Override
    public void onOtherIncarnation(WorkerSession session, String reason) {
        poolWorkers.incarnationEnded(session, reason);
        planSoon();
    }

    @Override
    public void onDead(WorkerSession session, String reason) {
        poolWorkers.close(session, reason);
        planSoon();
    }

    // What is decided.

    private void planSoon() {
        if (planDue || stopped || !loaded) {
            return;
        }
        planDue = true;
        runtime.after(PLAN_PAUSE_MILLIS, this::plan);
    }

    private void plan() {
        planDue = false;
        if (stopped) {
            return;
        }
        long now = runtime.clock().nanoTime();
        boolean mayOrder = duty.isConfirmedWithin(EXTEND_WITHOUT_STORE);
        boolean fresh = tenure.term() > 1 && now - tookOverNanos < FIRST_START.toNanos();
        if (!mayOrder || fresh) {
            return;
        }
        for (Order order : scheduler.plan(now, runtime.clock().now())) {
            logOrder(order);
            poolWorkers.send(order);
        }
        writer.changed();
        askAdvice(now);
    }

    private void askAdvice(long now) {
        Instant wall = runtime.clock().now();
        for (AdviceRequest question : scheduler.questions(advice.capacity(), now, wall)) {
            advice.ask(question, a -> onAdvice(question, a));
        }
    }

    private void onAdvice(AdviceRequest question, Optional<Advice> answer) {
        scheduler.onAdvice(question, answer, runtime.clock().nanoTime());
        planSoon();
    }

    private void logOrder(Order order) {
        if (order instanceof Order.Start start) {
            Placement placement = start.placement();
            log(
                    Event.RUN_ORDERED,
                    order,
                    placement.task().id(),
                    placement.run(),
                    "free",
                    order.worker().free().milliCores(),
                    "config",
                    queues.table().version());
        } else if (order instanceof Order.Pace pace) {
            Placement placement = pace.placement();
            log(
                    Event.RUN_PACED,
                    order,
                    placement.task().id(),
                    placement.run(),
                    "percent",
                    pace.percent());
        } else if (order instanceof Order.Stop stop) {
            log(Event.RUN_STOPPED, order, stop.task(), stop.run());
        }
    }

    private void log(Event event, Order order, TaskId task, long run, Object... more) {
        List<Object> fields = new ArrayList<>();
        fields.addAll(List.of("task", task, "run", run, "worker", order.worker().id()));
        fields.addAll(List.of(more));
        runtime.log().log(event, fields.toArray());
    }

    private QueueRoute route(TrackedSubmission submission) {
        return queues.lastKnown(submission.queue())
                .orElseGet(() -> QueueBook.unknownQueue(submission.queue(), service));
    }

    /** What an owner knows of the duty. */
    interface DutyView {
        /** Returns whether the store has confirmed the duty within a time. */
        boolean isConfirmedWithin(Duration age);
    }
}
