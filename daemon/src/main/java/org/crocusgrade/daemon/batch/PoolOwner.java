package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
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
import org.crocusgrade.core.schedule.ArrivalMeter;
import org.crocusgrade.core.schedule.HostShortage;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.PoolDemand;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.StartAnswer;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/**
 * Owns one pool: accepts its submissions and schedules them, and is the only sender of orders to
 * its workers.
 *
 * <p>Two owners cannot run the same task twice. The fencing tokens of a new owner are higher than
 * those of its predecessor (see {@link FencingTokens}). Before the new owner starts a task that the
 * predecessor may have started, each worker has either answered a call with the new token, so that
 * it has listed its runs and rejects the predecessor from then on, or enough time has passed for
 * the calls of the predecessor to have arrived and every lease to have expired. Tasks of
 * submissions that the new owner itself has accepted need not wait.
 */
final class PoolOwner implements WorkerSession.Listener, RecordWriter.Listener {
    /**
     * How long after the last confirmation of the duty leases are still extended and orders sent.
     */
    static final Duration MAX_CONFIRMATION_AGE = Duration.ofSeconds(5);

    /**
     * How long after a takeover nothing is started. During that time the holder of the fleet duty
     * may still act on the former owner's last report that a host is empty, and it has yet to send
     * its evacuation requests to the new owner.
     */
    private static final Duration START_DELAY = Duration.ofMillis(400);

    /**
     * How long stops ordered by a former owner may take to become visible: the platform's longest
     * stop. No long-running task is moved until then.
     */
    private static final Duration FORMER_STOP_DELAY = Duration.ofMillis(1500);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final DutyOwnership ownership;
    private final QueueRegistry queues;
    private final DutyView duty;
    private final AdviceDispatcher advice;
    private final Consumer<String> onDutyLost;
    private final PoolScheduler scheduler;
    private final RecordWriter writer;
    private final PoolWorkers poolWorkers;
    private final PoolRequests requests;
    private final PlanTimer planTimer = new PlanTimer();
    private final NoticeLog noticeLog;
    private final OrderLog orderLog;
    private final long tookOverNanos;
    private boolean loaded;
    private boolean planScheduled;
    private boolean stopped;
    private long statusSequence;
    private final PoolCaps caps;
    private HostShortage shortage = HostShortage.NONE;
    private EvacuationMessage evacuation = EvacuationMessage.getDefaultInstance();

    PoolOwner(
            BatchRuntime runtime,
            ServiceId service,
            DutyOwnership ownership,
            QueueRegistry queues,
            DutyView duty,
            AdviceDispatcher advice,
            Consumer<String> onDutyLost) {
        this.runtime = runtime;
        this.service = service;
        this.ownership = ownership;
        this.queues = queues;
        this.duty = duty;
        this.advice = advice;
        this.onDutyLost = onDutyLost;
        scheduler =
                new PoolScheduler(ownership.term(), this::route, () -> queues.table().customers());
        noticeLog = new NoticeLog(runtime.log());
        orderLog = new OrderLog(runtime.log(), service, noticeLog);
        caps = new PoolCaps(runtime, service, ownership.token(), scheduler, queues);
        writer = new RecordWriter(runtime, service, ownership, scheduler.dirtySubmissions(), this);
        requests =
                new PoolRequests(runtime, service, queues, scheduler, writer, this::schedulePlan);
        tookOverNanos = runtime.clock().nanoTime();
        if (ownership.term() > 1) {
            scheduler.holdEvacuationsUntil(tookOverNanos + FORMER_STOP_DELAY.toNanos());
        }
        poolWorkers = new PoolWorkers(runtime, service, ownership, scheduler, duty, this);
    }

    ServiceId service() {
        return service;
    }

    DutyOwnership ownership() {
        return ownership;
    }

    PoolScheduler scheduler() {
        return scheduler;
    }

    boolean isLoaded() {
        return loaded;
    }

    /**
     * Adds the submissions that earlier owners have stored, with the revisions of their progress
     * records.
     */
    void load(List<TrackedSubmission> stored, Map<SubmissionId, Long> revisions) {
        for (TrackedSubmission submission : stored) {
            scheduler.add(submission);
            poolWorkers.restoreStarts(submission);
        }
        revisions.forEach(writer::restore);
        requests.tick();
        loaded = true;
    }

    /** Ends the ownership: sends no more orders and starts no more writes. */
    void stop() {
        stopped = true;
        writer.stop();
        requests.stop();
        poolWorkers.stop();
    }

    boolean isStopped() {
        return stopped;
    }

    /**
     * Returns the report for the holder of the fleet duty. It contains only fenced workers, since
     * the runs of others are not known yet.
     */
    PoolStatusMessage status() {
        long now = runtime.clock().nanoTime();
        Instant wall = runtime.clock().now();
        PoolDemand demand = scheduler.poolDemand();
        Resources waiting = demand.waiting(now, wall);
        Resources batch = demand.reserved(false).plus(waiting);
        Resources longRunning = demand.reserved(true);
        setShortage(demand.hostShortage(now, wall));
        PoolStatusMessage.Builder status =
                PoolStatusMessage.newBuilder()
                        .setService(service.value())
                        .setSequence(++statusSequence)
                        .setToken(ownership.token())
                        .setEvacuationToken(evacuation.getToken())
                        .setEvacuationSequence(evacuation.getSequence())
                        .setWaitingMilliCores(waiting.milliCores())
                        .setBatchMilliCores(batch.milliCores())
                        .setLongRunningMilliCores(longRunning.milliCores())
                        .setWaitingMemoryMb(waiting.memoryMb())
                        .setBatchMemoryMb(batch.memoryMb())
                        .setLongRunningMemoryMb(longRunning.memoryMb())
                        .setLackingHosts(shortage.hosts())
                        .setBacklogCoreMillis(Math.round(demand.backlogCoreMillis()))
                        .setOfferedMilliCores(scheduler.offeredMilliCores(now))
                        .setOfferedSubmissions(scheduler.offeredSubmissions(now))
                        .setOfferedCoversMs(offeredCoversMillis(now));
        for (WorkerSession session : poolWorkers.sessions()) {
            if (session.isFenced()) {
                status.addWorkers(session.status());
            }
        }
        caps.addTo(status);
        return status.build();
    }

    /** Returns the time that the measured arrivals cover: this owner sees those of its own time. */
    private int offeredCoversMillis(long now) {
        long window = ArrivalMeter.WINDOW.toMillis();
        return (int) Math.min(window, Math.max(1, (now - tookOverNanos) / NANOS_PER_MILLI));
    }

    private void setShortage(HostShortage current) {
        if (current.hosts() != shortage.hosts()) {
            runtime.log().log(
                    Event.HOSTS_LACKING,
                    "pool",
                    service,
                    "hosts",
                    current.hosts(),
                    "tasks",
                    current.tasks(),
                    "step",
                    current.step().map(StepId::toString).orElse("-"),
                    "workers",
                    scheduler.workers().size());
        }
        shortage = current;
    }

    /** Returns whether all changes are stored. */
    boolean isIdle() {
        return writer.isIdle();
    }

    /** Updates the sessions to the registered workers, given for all pools. */
    void onWorkers(Map<WorkerId, WorkerEntry> registered) {
        if (loaded && !stopped) {
            poolWorkers.onWorkers(registered);
            schedulePlan();
        }
    }

    /**
     * Applies a request of the holder of the fleet duty, unless a newer one was applied: a former
     * holder may not know yet that it has been replaced. Workers that the request does not name
     * accept runs again.
     */
    void evacuate(EvacuationMessage request) {
        boolean outdated =
                request.getToken() < evacuation.getToken()
                        || request.getToken() == evacuation.getToken()
                                && request.getSequence() < evacuation.getSequence();
        if (outdated) {
            runtime.log().log(
                    Event.REPORT_IGNORED,
                    "pool",
                    service,
                    "what",
                    "evacuation",
                    "token",
                    request.getToken(),
                    "latest-token",
                    evacuation.getToken());
            return;
        }
        evacuation = request;
        Set<WorkerId> workers = new HashSet<>();
        request.getWorkersList().forEach(w -> workers.add(new WorkerId(w)));
        poolWorkers.evacuate(workers);
        schedulePlan();
    }

    /**
     * Applies limits for customers with a cap.
     *
     * @param fleetToken the token of the fleet duty's holder, as far as this daemon knows
     */
    void onCapGrant(CapGrantMessage grant, long fleetToken) {
        if (caps.onGrant(grant, fleetToken)) {
            schedulePlan();
        }
    }

    /** Sets the workers on the pool's hosts that are up, as read after the takeover. */
    void onLiveWorkers(Set<WorkerId> live) {
        poolWorkers.onLiveWorkers(live);
    }

    /** Handles expired leases and unanswered writes, and plans again because retries may be due. */
    void tick() {
        if (loaded && !stopped) {
            requests.tick();
            caps.updateCapped();
            poolWorkers.tick();
            writer.tick();
            schedulePlan();
        }
    }

    /** Deletes the records of submissions whose retention time has passed. */
    void deleteExpired() {
        Instant now = runtime.clock().now();
        for (TrackedSubmission submission : List.copyOf(scheduler.submissions())) {
            if (writer.isExpired(submission, now)) {
                scheduler.remove(submission);
                writer.expire(submission);
            }
        }
        writer.scheduleFlush();
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
    public void onConfirmed(long revision) {
        poolWorkers.onConfirmed(revision);
    }

    @Override
    public void onWritten() {
        requests.onWritten();
        poolWorkers.sessions().forEach(WorkerSession::onStored);
        if (scheduler.hasSuspects()) {
            schedulePlan();
        }
    }

    @Override
    public void onExpired(TrackedSubmission submission) {
        scheduler.remove(submission);
    }

    @Override
    public void onDutyLost(String reason) {
        if (!stopped) {
            onDutyLost.accept(reason);
        }
    }

    // Answers of workers.

    @Override
    public boolean mayExtendLeases() {
        return duty.isConfirmedWithin(MAX_CONFIRMATION_AGE);
    }

    @Override
    public Optional<Duration> nextEnd(WorkerSession session) {
        return scheduler.nextEnd(session.node(), runtime.clock().nanoTime());
    }

    @Override
    public void onReport(WorkerSession session, long requestedNanos, WorkerReport report) {
        long now = runtime.clock().nanoTime();
        Instant wall = runtime.clock().now();
        long lastKnownEnd = session.node().lastEnd();
        scheduler.onReport(
                session.node(),
                requestedNanos,
                report.running(),
                report.ends(),
                report.allEnds(),
                now,
                wall);
        orderLog.onEnds(session.node().id(), report.ends(), lastKnownEnd);
        logNotices();
        writer.scheduleFlush();
        schedulePlan();
    }

    @Override
    public void onConnectionLost(WorkerSession session) {
        scheduler.onConnectionLost(session.node(), runtime.clock().nanoTime());
        logNotices();
        writer.scheduleFlush();
    }

    private void logNotices() {
        scheduler.takeNotices().forEach(noticeLog::log);
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
                    detail,
                    "after-ms",
                    Duration.ofNanos(runtime.clock().nanoTime() - placement.orderedNanos())
                            .toMillis());
        }
        scheduler.onStartAnswer(placement, answer, runtime.clock().nanoTime());
        schedulePlan();
    }

    @Override
    public void onStopAnswer(Placement placement, boolean answered) {
        scheduler.onStopAnswer(placement, answered, runtime.clock().nanoTime());
        schedulePlan();
    }

    @Override
    public void onPaceAnswer(Order.Pace order, boolean answered) {
        scheduler.onPaceAnswer(order.placement(), order.percent(), answered);
    }

    @Override
    public void onFencedOff(WorkerSession session) {
        onDutyLost("worker " + session.node().id() + " has received a higher token");
    }

    @Override
    public void onOtherIncarnation(WorkerSession session, String reason) {
        poolWorkers.incarnationEnded(session, reason);
        schedulePlan();
    }

    @Override
    public void onDead(WorkerSession session, String reason) {
        poolWorkers.close(session, reason);
        schedulePlan();
    }

    // Planning.

    private void schedulePlan() {
        if (planScheduled || stopped || !loaded) {
            return;
        }
        planScheduled = true;
        runtime.after(planTimer.delay(runtime.clock().nanoTime()).toMillis(), this::plan);
    }

    private void plan() {
        planScheduled = false;
        if (stopped) {
            return;
        }
        long now = runtime.clock().nanoTime();
        boolean mayOrder = duty.isConfirmedWithin(MAX_CONFIRMATION_AGE);
        boolean justTookOver = ownership.term() > 1 && now - tookOverNanos < START_DELAY.toNanos();
        if (!mayOrder || justTookOver) {
            return;
        }
        for (Order order : scheduler.plan(now, runtime.clock().now())) {
            orderLog.onOrder(order, queues.table().version());
            poolWorkers.send(order);
        }
        scheduler.takeShareChanges().forEach(orderLog::onShareChange);
        logNotices();
        writer.scheduleFlush();
        requestAdvice(now);
        planTimer.onRound(now, runtime.clock().nanoTime());
    }

    private void requestAdvice(long now) {
        Instant wall = runtime.clock().now();
        for (AdviceRequest request : scheduler.adviceRequests(advice.capacity(), now, wall)) {
            advice.send(request, a -> onAdvice(request, a));
        }
    }

    private void onAdvice(AdviceRequest request, Optional<Advice> answer) {
        scheduler.onAdvice(request, answer, runtime.clock().nanoTime());
        schedulePlan();
    }

    private QueueRoute route(TrackedSubmission submission) {
        return queues.lastKnown(submission.queue())
                .orElseGet(() -> QueueRegistry.unknownQueue(submission.queue(), service));
    }
}
