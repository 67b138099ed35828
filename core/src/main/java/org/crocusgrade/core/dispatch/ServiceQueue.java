package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/**
 * Schedules one service's requests at one daemon: decides which are admitted, when and on which
 * worker each starts, which are retried, and what is reported to each caller.
 *
 * <p>Its methods take events, each with the monotonic time, and call its {@link DispatchActions}.
 * It has no locks: the daemon passes in one event at a time. Only {@link #wantedSlots()}, {@link
 * #offeredSlots()}, {@link #meanRunSeconds()}, {@link #queued()}, {@link #running()} and {@link
 * #nextWakeNanos()} may be called from any thread.
 *
 * <p>Each request gets exactly one final answer, by {@code deliver} or {@code answer}. A request
 * that is dropped is answered while the same event is handled. Once an attempt was started, the
 * request is reported as not run only if every attempt ended with proof that it did not run; and an
 * attempt that may have run is followed by another only if the request is idempotent.
 */
public final class ServiceQueue {
    /** The number of distinct workers on which a request may fail before it is given up. */
    static final int POISON_WORKERS = 3;

    /** The most attempts of one request, including those that workers refused. */
    static final int MAX_ATTEMPTS = 5;

    private static final long SWEEP_NANOS = 10_000_000L;
    private static final long GRANT_LAG_NANOS = 300_000_000L;
    private static final long RETRY_DELAY_NANOS = 5_000_000L;
    private static final long BUSY_PAUSE_NANOS = 20_000_000L;
    private static final long LEAVING_PAUSE_NANOS = 3_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_OFFERED_SLOTS = 0.01;

    private final DispatchActions actions;
    private final UniformRandomProvider random;
    private final Map<RequestId, PendingRequest> pending = new HashMap<>();
    private final TreeSet<PendingRequest> runningByDeadline =
            new TreeSet<>(PendingRequest::byDeadline);
    private final TreeSet<PendingRequest> delayed = new TreeSet<>(PendingRequest::byWake);
    private final RetryBudget budget = new RetryBudget();
    private final RetryAfter retryAfter;
    private final List<PendingRequest> toDrop = new ArrayList<>();
    private final GrantedSlots slots;
    private final PriorityLevels levels;
    private QueueSettings settings;
    private List<Needs> largestWorkers = List.of();
    private long sequence;
    private long lastSweepNanos;
    private long shortSinceNanos;
    private boolean shortOfSlots;
    private boolean stopping;

    private volatile int wantedSlots;
    private volatile int queuedCount;
    private volatile int runningCount;
    private volatile double offeredSlots;
    private volatile double meanRunSeconds;
    private volatile long nextWake = Long.MAX_VALUE;

    /** Creates an empty queue without granted slots. */
    public ServiceQueue(
            QueueSettings settings, DispatchActions actions, UniformRandomProvider random) {
        this.settings = Objects.requireNonNull(settings);
        this.actions = Objects.requireNonNull(actions);
        this.random = Objects.requireNonNull(random);
        slots = new GrantedSlots(settings.zone());
        levels = new PriorityLevels(settings);
        retryAfter = new RetryAfter(random);
    }

    /** Replaces the settings; admitted requests and learned run times stay. */
    public void configure(QueueSettings changed, long now) {
        settings = Objects.requireNonNull(changed);
        levels.configure(changed);
        startWaiting(now);
    }

    /** Handles a new request: starts it, queues it or refuses it. */
    public void offer(Request request, long now) {
        if (pending.containsKey(request.id())) {
            throw new IllegalArgumentException(
                    "duplicate id of a pending request: " + request.id());
        }
        levels.recordArrival(request, now);
        Optional<Refusal> refusal = refusal(request, now);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), now);
            publish(now);
            return;
        }
        PendingRequest entry = new PendingRequest(request, sequence++, now);
        pending.put(request.id(), entry);
        levels.add(entry, now);
        startWaiting(now);
    }

    private Optional<Refusal> refusal(Request request, long now) {
        if (stopping) {
            return Optional.of(new Refusal(Reason.STOPPING, 0));
        }
        if (request.deadlineNanos() - now <= 0) {
            return Optional.of(new Refusal(Reason.DEADLINE_PASSED, -1));
        }
        if (neverFits(request.needs())) {
            return Optional.of(new Refusal(Reason.NEVER_FITS, -1));
        }
        int estimateSlots = slotsForEstimates(now);
        int free = slots.free(now);
        PriorityLevels.Rejection rejection =
                estimateSlots > 0 ? levels.admit(request, free, estimateSlots, now) : null;
        if (rejection != null) {
            return Optional.of(new Refusal(rejection.reason(), rejection.lateNanos()));
        }
        if (levels.size() + delayed.size() < settings.queueBound()) {
            return Optional.empty();
        }
        PendingRequest displaced = levels.displacedBy(request);
        double interval = levels.slotIntervalNanos(slots.granted());
        if (displaced == null) {
            return Optional.of(new Refusal(Reason.QUEUE_FULL, interval));
        }
        levels.remove(displaced);
        drop(displaced, Reason.QUEUE_FULL, interval, now);
        return Optional.empty();
    }

    private boolean neverFits(Needs needs) {
        if (largestWorkers.isEmpty()) {
            return false;
        }
        for (Needs size : largestWorkers) {
            if (WorkerGrant.fits(needs, size)) {
                return false;
            }
        }
        return true;
    }

    /** Replaces the worker's previous grant of slots. */
    public void granted(WorkerGrant grant, long now) {
        slots.set(grant);
        startWaiting(now);
    }

    /**
     * Sets the sizes of the workers that the service's pool may ever hold; a request that fits none
     * of them is refused. While no size is known, no request is refused for its size.
     */
    public void workerSizes(Collection<Needs> sizes) {
        largestWorkers = List.copyOf(sizes);
    }

    /** Handles the end of an attempt; a repeated report of the same end is ignored. */
    public void finished(Attempt attempt, RunEnd end, long now) {
        PendingRequest entry = pending.get(attempt.request().id());
        if (entry == null || !attempt.equals(entry.attempt) || !holdsSlot(entry)) {
            return;
        }
        long elapsed = now - entry.startedNanos;
        slots.ended(attempt.worker());
        levels.ended(entry.request, elapsed - entry.chargedNanos);
        recordRunTime(entry, end, elapsed);
        pauseWorker(attempt.worker(), end, entry.cancelled, now);
        if (entry.state == PendingRequest.State.ABANDONED) {
            pending.remove(entry.request.id());
            entry.state = PendingRequest.State.DONE;
        } else {
            runningByDeadline.remove(entry);
            resolve(entry, end, now);
        }
        startWaiting(now);
    }

    private static boolean holdsSlot(PendingRequest entry) {
        return entry.state == PendingRequest.State.RUNNING
                || entry.state == PendingRequest.State.ABANDONED;
    }

    private void recordRunTime(PendingRequest entry, RunEnd end, long elapsed) {
        boolean cancelled =
                entry.state == PendingRequest.State.ABANDONED && settings.cancelRunning();
        if (end == RunEnd.ANSWERED && !cancelled || end == RunEnd.TIMED_OUT) {
            levels.recordRunTime(entry.request, elapsed);
        }
    }

    private void pauseWorker(WorkerId worker, RunEnd end, boolean cancelled, long now) {
        if (end == RunEnd.REFUSED_LEAVING) {
            slots.pause(worker, now + LEAVING_PAUSE_NANOS);
        } else if (end.provesNotRun()) {
            slots.pause(worker, now + BUSY_PAUSE_NANOS);
        }
        if (!cancelled && (end == RunEnd.ANSWERED || end.isWorkerFailure())) {
            slots.recordResult(worker, end.isWorkerFailure(), now);
        }
    }

    private void resolve(PendingRequest entry, RunEnd end, long now) {
        Attempt attempt = entry.attempt;
        if (end == RunEnd.ANSWERED) {
            finish(entry);
            actions.deliver(attempt);
            return;
        }
        if (end != RunEnd.LEASE_LOST) {
            entry.endedAttempts++;
        }
        if (!end.provesNotRun()) {
            entry.recordFailure(attempt.worker(), end.failure);
        }
        boolean poison = entry.failedOn.size() >= POISON_WORKERS;
        if (end == RunEnd.LEASE_LOST && entry.request.deadlineNanos() - now > 0) {
            actions.retried(attempt, end);
            entry.state = PendingRequest.State.QUEUED;
            levels.add(entry, now);
            return;
        }
        if (!poison && mayRetry(entry, end, now) && budget.tryTake()) {
            retry(entry, end, now);
            return;
        }
        finish(entry);
        if (poison) {
            actions.answer(entry.request, Reason.POISON, Optional.empty());
        } else if (end.hasAnswer()) {
            actions.deliver(attempt);
        } else {
            Optional<Duration> after =
                    end.provesNotRun() ? Optional.of(retryAfter(0, now)) : Optional.empty();
            actions.answer(entry.request, entry.reportableReason(end.reason), after);
        }
    }

    private static boolean mayRetry(PendingRequest entry, RunEnd end, long now) {
        return (entry.request.idempotent() || end.provesNotRun())
                && entry.endedAttempts < MAX_ATTEMPTS
                && entry.request.deadlineNanos() - now > 0;
    }

    private void retry(PendingRequest entry, RunEnd end, long now) {
        actions.retried(entry.attempt, end);
        double delay = RETRY_DELAY_NANOS * (1 << entry.endedAttempts) * random.nextDouble();
        entry.wakeNanos = now + (long) delay;
        entry.state = PendingRequest.State.DELAYED;
        delayed.add(entry);
    }

    /**
     * Handles the withdrawal of a request by its caller. A waiting request is dropped; a running
     * one is answered and, if its service allows that, cancelled at its worker, and it holds its
     * slot until the attempt ends.
     */
    public void cancel(RequestId id, long now) {
        PendingRequest entry = pending.get(id);
        if (entry == null || entry.state == PendingRequest.State.ABANDONED) {
            return;
        }
        if (entry.state == PendingRequest.State.RUNNING) {
            entry.cancelled = true;
            abandon(entry, Reason.CANCELLED_RUNNING);
        } else {
            levels.remove(entry);
            delayed.remove(entry);
            drop(entry, Reason.CANCELLED, -1, now);
        }
        startWaiting(now);
    }

    private void abandon(PendingRequest entry, Reason reason) {
        runningByDeadline.remove(entry);
        entry.state = PendingRequest.State.ABANDONED;
        actions.answer(entry.request, reason, Optional.empty());
        if (settings.cancelRunning()) {
            actions.cancelRun(entry.attempt);
        }
    }

    /** Refuses all new requests from now on; admitted ones continue. */
    public void stop(long now) {
        stopping = true;
        publish(now);
    }

    /**
     * Handles due deadlines and delays; to be called at {@link #nextWakeNanos()} or shortly after.
     */
    public void tick(long now) {
        while (!runningByDeadline.isEmpty()) {
            PendingRequest first = runningByDeadline.first();
            if (first.request.deadlineNanos() - now > 0) {
                break;
            }
            abandon(first, Reason.RUN_TIMEOUT);
        }
        while (!delayed.isEmpty() && delayed.first().wakeNanos - now <= 0) {
            PendingRequest entry = delayed.pollFirst();
            entry.state = PendingRequest.State.QUEUED;
            levels.add(entry, now);
        }
        startWaiting(now);
    }

    private void startWaiting(long now) {
        int free = slots.free(now);
        while (free > 0 && levels.size() > 0) {
            PendingRequest next =
                    levels.poll(entry -> startable(entry, now), free, slots.granted(), now);
            dropCollected(now);
            if (next == null) {
                break;
            }
            start(next, now);
            free--;
        }
        sweep(now);
        publish(now);
    }

    private boolean startable(PendingRequest entry, long now) {
        if (entry.request.deadlineNanos() - now <= 0
                || levels.size() > 1 && levels.isUnreachable(entry, 0, now)) {
            toDrop.add(entry);
            return false;
        }
        return slots.choose(entry, now).isPresent();
    }

    private void dropCollected(long now) {
        for (PendingRequest entry : toDrop) {
            levels.remove(entry);
            dropLate(entry, now);
        }
        toDrop.clear();
    }

    private void start(PendingRequest entry, long now) {
        WorkerId worker = slots.choose(entry, now).orElseThrow();
        int number = entry.attempt == null ? 1 : entry.attempt.number() + 1;
        if (number == 1) {
            budget.recordFirstAttempt();
        }
        entry.attempt = new Attempt(entry.request, number, worker);
        entry.state = PendingRequest.State.RUNNING;
        entry.startedNanos = now;
        entry.chargedNanos = levels.meanNanos(entry.request);
        slots.started(worker);
        runningByDeadline.add(entry);
        actions.start(entry.attempt);
    }

    private void sweep(long now) {
        if (levels.size() == 0 || now - lastSweepNanos < SWEEP_NANOS) {
            return;
        }
        lastSweepNanos = now;
        int estimateSlots = slotsForEstimates(now);
        int divisor = estimateSlots > 0 ? estimateSlots : Integer.MAX_VALUE;
        for (PendingRequest entry : levels.listUnreachable(divisor, now)) {
            levels.remove(entry);
            dropLate(entry, now);
        }
    }

    private void dropLate(PendingRequest entry, long now) {
        boolean passed = entry.request.deadlineNanos() - now <= 0;
        if (passed) {
            drop(entry, Reason.DEADLINE_PASSED, -1, now);
        } else {
            double interval = levels.slotIntervalNanos(slots.granted());
            drop(entry, Reason.DEADLINE_UNREACHABLE, interval, now);
        }
    }

    private void drop(PendingRequest entry, Reason reason, double lateNanos, long now) {
        finish(entry);
        refuse(entry.request, new Refusal(entry.reportableReason(reason), lateNanos), now);
    }

    private void finish(PendingRequest entry) {
        pending.remove(entry.request.id());
        entry.state = PendingRequest.State.DONE;
    }

    private void refuse(Request request, Refusal refusal, long now) {
        if (refusal.lateNanos < 0) {
            actions.answer(request, refusal.reason, Optional.empty());
            return;
        }
        retryAfter.recordRefusal(now);
        Duration after = retryAfter(refusal.lateNanos, now);
        actions.answer(request, refusal.reason, Optional.of(after));
    }

    private Duration retryAfter(double lateNanos, long now) {
        return retryAfter.after(lateNanos, levels.slotIntervalNanos(slots.granted()), now);
    }

    /**
     * Returns the number of slots to estimate waits with: the granted slots or, for a short time
     * after the demand has exceeded them, the wanted slots, since grants follow the demand. Returns
     * 0 if none is granted; no estimate is possible then.
     */
    private int slotsForEstimates(long now) {
        int granted = slots.granted();
        if (granted == 0) {
            return 0;
        }
        boolean growing = shortOfSlots && now - shortSinceNanos < GRANT_LAG_NANOS;
        return growing ? Math.max(granted, wantedSlots) : granted;
    }

    private void publish(long now) {
        int waiting = levels.size() + delayed.size();
        int busy = slots.running();
        double offered = levels.offeredSlots(now);
        int steady =
                offered < MIN_OFFERED_SLOTS ? 0 : (int) Math.ceil(offered + Math.sqrt(offered));
        int wanted = Math.max(waiting + busy, steady);
        boolean demandExceedsGrant = wanted > slots.granted();
        if (demandExceedsGrant && !shortOfSlots) {
            shortSinceNanos = now;
        }
        shortOfSlots = demandExceedsGrant;
        wantedSlots = wanted;
        queuedCount = waiting;
        runningCount = busy;
        offeredSlots = offered;
        meanRunSeconds = levels.slotIntervalNanos(1) / NANOS_PER_SECOND;
        nextWake = computeNextWake(now, steady > 0);
    }

    private long computeNextWake(long now, boolean decaying) {
        long wait = decaying ? GRANT_LAG_NANOS : Long.MAX_VALUE;
        if (levels.size() > 0) {
            wait = Math.min(wait, lastSweepNanos + SWEEP_NANOS - now);
        }
        if (!runningByDeadline.isEmpty()) {
            wait = Math.min(wait, runningByDeadline.first().request.deadlineNanos() - now);
        }
        if (!delayed.isEmpty()) {
            wait = Math.min(wait, delayed.first().wakeNanos - now);
        }
        return wait == Long.MAX_VALUE ? Long.MAX_VALUE : now + Math.max(0, wait);
    }

    /** Returns how many slots would serve the demand; callable from any thread. */
    public int wantedSlots() {
        return wantedSlots;
    }

    /** Returns the offered load in slots, arrival rate times run time; from any thread. */
    public double offeredSlots() {
        return offeredSlots;
    }

    /** Returns the mean run time used for estimates, in seconds; from any thread. */
    public double meanRunSeconds() {
        return meanRunSeconds;
    }

    /** Returns how many requests wait; from any thread. */
    public int queued() {
        return queuedCount;
    }

    /** Returns how many attempts hold a slot; from any thread. */
    public int running() {
        return runningCount;
    }

    /** Returns how many attempts hold a slot of a worker; only callable between events. */
    public int running(WorkerId worker) {
        return slots.running(worker);
    }

    /** Returns when {@link #tick} is due, {@code Long.MAX_VALUE} for never; from any thread. */
    public long nextWakeNanos() {
        return nextWake;
    }

    /** A refusal; a negative lateNanos means that no time to retry is given. */
    private record Refusal(Reason reason, double lateNanos) {}
}
