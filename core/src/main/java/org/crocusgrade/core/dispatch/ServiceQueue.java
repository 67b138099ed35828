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
 * Decides over one service's requests at one daemon: which are taken, when and where each starts,
 * what is tried again, and what each caller is told.
 *
 * <p>It is told events, each with the monotonic time, and calls its {@link DispatchActions}. It has
 * no locks: the daemon passes in one event at a time. Only {@link #wantedSlots()}, {@link
 * #queued()}, {@link #running()} and {@link #nextWakeNanos()} may be read from any thread.
 *
 * <p>Each request gets exactly one final answer, a {@code deliver} or an {@code answer}. A request
 * that is given up is answered in the same event. Once an attempt was started, the request is told
 * to be not run only if every attempt ended with proof that it did not run; and an attempt that may
 * have run is followed by another only if the request is idempotent.
 */
public final class ServiceQueue {
    /** Distinct workers on which a request fails before it is given up. */
    static final int POISON_WORKERS = 3;

    /** Attempts of one request, those that workers refused among them. */
    static final int MOST_ATTEMPTS = 5;

    private static final long SWEEP_NANOS = 10_000_000L;
    private static final long GROWTH_NANOS = 300_000_000L;
    private static final long RETRY_DELAY_NANOS = 5_000_000L;
    private static final long FULL_PAUSE_NANOS = 20_000_000L;
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
    private final List<PendingRequest> givenUp = new ArrayList<>();
    private final GrantedSlots slots;
    private final Lanes lanes;
    private QueueSettings settings;
    private List<Needs> largestWorkers = List.of();
    private long sequence;
    private long sweptNanos;
    private long shortSinceNanos;
    private boolean shortOfSlots;
    private boolean stopping;

    private volatile int wantedSlots;
    private volatile int queuedCount;
    private volatile int runningCount;
    private volatile double offeredSlots;
    private volatile double meanRunSeconds;
    private volatile long nextWake = Long.MAX_VALUE;

    /** Makes an empty queue without slots. */
    public ServiceQueue(
            QueueSettings settings, DispatchActions actions, UniformRandomProvider random) {
        this.settings = Objects.requireNonNull(settings);
        this.actions = Objects.requireNonNull(actions);
        this.random = Objects.requireNonNull(random);
        slots = new GrantedSlots(settings.zone());
        lanes = new Lanes(settings);
        retryAfter = new RetryAfter(random);
    }

    /** Takes changed settings; what was learned and what was taken stays. */
    public void configure(QueueSettings changed, long now) {
        settings = Objects.requireNonNull(changed);
        lanes.configure(changed);
        pump(now);
    }

    /** Takes a new request: starts it, lets it wait, or refuses it. */
    public void offer(Request request, long now) {
        if (pending.containsKey(request.id())) {
            throw new IllegalArgumentException("request id was used before: " + request.id());
        }
        lanes.arrived(request, now);
        Optional<Refusal> refusal = refusal(request, now);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), now);
            publish(now);
            return;
        }
        PendingRequest entry = new PendingRequest(request, sequence++, now);
        pending.put(request.id(), entry);
        lanes.add(entry, now);
        pump(now);
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
        int reckoned = reckonedSlots(now);
        int free = slots.free(now);
        Lanes.Verdict verdict = reckoned > 0 ? lanes.admit(request, free, reckoned, now) : null;
        if (verdict != null) {
            return Optional.of(new Refusal(verdict.reason(), verdict.lateNanos()));
        }
        if (lanes.size() + delayed.size() < settings.queueBound()) {
            return Optional.empty();
        }
        PendingRequest displaced = lanes.displacedBy(request);
        double interval = lanes.slotIntervalNanos(slots.granted());
        if (displaced == null) {
            return Optional.of(new Refusal(Reason.QUEUE_FULL, interval));
        }
        lanes.remove(displaced);
        giveUp(displaced, Reason.QUEUE_FULL, interval, now);
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

    /** Takes a grant of slots in place of the worker's grant before it. */
    public void granted(WorkerGrant grant, long now) {
        slots.set(grant);
        pump(now);
    }

    /**
     * Takes the sizes of the workers that the service's pool may ever hold; a request that fits
     * none of them is refused. Nothing is refused so while none is known.
     */
    public void workerSizes(Collection<Needs> sizes) {
        largestWorkers = List.copyOf(sizes);
    }

    /** Takes the end of an attempt; an end that was told before is ignored. */
    public void finished(Attempt attempt, RunEnd end, long now) {
        PendingRequest entry = pending.get(attempt.request().id());
        if (entry == null || !attempt.equals(entry.attempt) || !holdsSlot(entry)) {
            return;
        }
        long took = now - entry.startedNanos;
        slots.ended(attempt.worker());
        lanes.ended(entry.request, took - entry.chargedNanos);
        learn(entry, end, took);
        pauseWorker(attempt.worker(), end, entry.cancelled, now);
        if (entry.state == PendingRequest.State.ABANDONED) {
            pending.remove(entry.request.id());
            entry.state = PendingRequest.State.DONE;
        } else {
            runningByDeadline.remove(entry);
            settle(entry, end, now);
        }
        pump(now);
    }

    private static boolean holdsSlot(PendingRequest entry) {
        return entry.state == PendingRequest.State.RUNNING
                || entry.state == PendingRequest.State.ABANDONED;
    }

    private void learn(PendingRequest entry, RunEnd end, long took) {
        boolean cancelled =
                entry.state == PendingRequest.State.ABANDONED && settings.cancelRunning();
        if (end == RunEnd.ANSWERED && !cancelled || end == RunEnd.TIMED_OUT) {
            lanes.ran(entry.request, took);
        }
    }

    private void pauseWorker(WorkerId worker, RunEnd end, boolean cancelled, long now) {
        if (end == RunEnd.REFUSED_LEAVING) {
            slots.pause(worker, now + LEAVING_PAUSE_NANOS);
        } else if (end.provesNotRun()) {
            slots.pause(worker, now + FULL_PAUSE_NANOS);
        }
        if (!cancelled && (end == RunEnd.ANSWERED || end.blamesWorker())) {
            slots.judged(worker, end.blamesWorker(), now);
        }
    }

    private void settle(PendingRequest entry, RunEnd end, long now) {
        Attempt attempt = entry.attempt;
        if (end == RunEnd.ANSWERED) {
            finish(entry);
            actions.deliver(attempt);
            return;
        }
        if (end != RunEnd.LEASE_LOST) {
            entry.sends++;
        }
        if (!end.provesNotRun()) {
            entry.failed(attempt.worker(), end.failure);
        }
        boolean poison = entry.failedOn.size() >= POISON_WORKERS;
        if (end == RunEnd.LEASE_LOST && entry.request.deadlineNanos() - now > 0) {
            actions.retried(attempt, end);
            entry.state = PendingRequest.State.QUEUED;
            lanes.add(entry, now);
            return;
        }
        if (!poison && mayRetry(entry, end, now) && budget.take()) {
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
            actions.answer(entry.request, entry.truthful(end.reason), after);
        }
    }

    private static boolean mayRetry(PendingRequest entry, RunEnd end, long now) {
        return (entry.request.idempotent() || end.provesNotRun())
                && entry.sends < MOST_ATTEMPTS
                && entry.request.deadlineNanos() - now > 0;
    }

    private void retry(PendingRequest entry, RunEnd end, long now) {
        actions.retried(entry.attempt, end);
        double delay = RETRY_DELAY_NANOS * (1 << entry.sends) * random.nextDouble();
        entry.wakeNanos = now + (long) delay;
        entry.state = PendingRequest.State.DELAYED;
        delayed.add(entry);
    }

    /**
     * Takes it that the caller left. A waiting request is dropped; a running one is cancelled at
     * its worker if its service allows that. Either way its slot counts until the attempt's end.
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
            lanes.remove(entry);
            delayed.remove(entry);
            giveUp(entry, Reason.CANCELLED, -1, now);
        }
        pump(now);
    }

    private void abandon(PendingRequest entry, Reason reason) {
        runningByDeadline.remove(entry);
        entry.state = PendingRequest.State.ABANDONED;
        actions.answer(entry.request, reason, Optional.empty());
        if (settings.cancelRunning()) {
            actions.cancelRun(entry.attempt);
        }
    }

    /** Refuses all new requests from now on; what was taken goes on. */
    public void stop(long now) {
        stopping = true;
        publish(now);
    }

    /** Does what is due by time; to be called at {@link #nextWakeNanos()} or a little later. */
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
            lanes.add(entry, now);
        }
        pump(now);
    }

    private void pump(long now) {
        int free = slots.free(now);
        while (free > 0 && lanes.size() > 0) {
            PendingRequest next =
                    lanes.poll(entry -> startable(entry, now), free, slots.granted(), now);
            dropGivenUp(now);
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
                || lanes.size() > 1 && lanes.isHopeless(entry, 0, now)) {
            givenUp.add(entry);
            return false;
        }
        return slots.choose(entry, now).isPresent();
    }

    private void dropGivenUp(long now) {
        for (PendingRequest entry : givenUp) {
            lanes.remove(entry);
            giveUpLate(entry, now);
        }
        givenUp.clear();
    }

    private void start(PendingRequest entry, long now) {
        WorkerId worker = slots.choose(entry, now).orElseThrow();
        int number = entry.attempt == null ? 1 : entry.attempt.number() + 1;
        if (number == 1) {
            budget.firstAttempt();
        }
        entry.attempt = new Attempt(entry.request, number, worker);
        entry.state = PendingRequest.State.RUNNING;
        entry.startedNanos = now;
        entry.chargedNanos = lanes.meanNanos(entry.request);
        slots.started(worker);
        runningByDeadline.add(entry);
        actions.start(entry.attempt);
    }

    private void sweep(long now) {
        if (lanes.size() == 0 || now - sweptNanos < SWEEP_NANOS) {
            return;
        }
        sweptNanos = now;
        int reckoned = reckonedSlots(now);
        int divisor = reckoned > 0 ? reckoned : Integer.MAX_VALUE;
        for (PendingRequest entry : lanes.hopeless(divisor, now)) {
            lanes.remove(entry);
            giveUpLate(entry, now);
        }
    }

    private void giveUpLate(PendingRequest entry, long now) {
        boolean passed = entry.request.deadlineNanos() - now <= 0;
        if (passed) {
            giveUp(entry, Reason.DEADLINE_PASSED, -1, now);
        } else {
            double interval = lanes.slotIntervalNanos(slots.granted());
            giveUp(entry, Reason.DEADLINE_UNREACHABLE, interval, now);
        }
    }

    private void giveUp(PendingRequest entry, Reason reason, double lateNanos, long now) {
        finish(entry);
        refuse(entry.request, new Refusal(entry.truthful(reason), lateNanos), now);
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
        retryAfter.refused(now);
        Duration after = retryAfter(refusal.lateNanos, now);
        actions.answer(request, refusal.reason, Optional.of(after));
    }

    private Duration retryAfter(double lateNanos, long now) {
        return retryAfter.after(lateNanos, lanes.slotIntervalNanos(slots.granted()), now);
    }

    /**
     * Returns the slots to reckon waits with: those granted, but for a short time after demand rose
     * over them those asked for, as grants follow demand; 0 if nothing can be said.
     */
    private int reckonedSlots(long now) {
        int granted = slots.granted();
        if (granted == 0) {
            return 0;
        }
        boolean growing = shortOfSlots && now - shortSinceNanos < GROWTH_NANOS;
        return growing ? Math.max(granted, wantedSlots) : granted;
    }

    private void publish(long now) {
        int waiting = lanes.size() + delayed.size();
        int busy = slots.running();
        double offered = lanes.offeredSlots(now);
        int steady =
                offered < MIN_OFFERED_SLOTS ? 0 : (int) Math.ceil(offered + Math.sqrt(offered));
        int wanted = Math.max(waiting + busy, steady);
        boolean tooFew = wanted > slots.granted();
        if (tooFew && !shortOfSlots) {
            shortSinceNanos = now;
        }
        shortOfSlots = tooFew;
        wantedSlots = wanted;
        queuedCount = waiting;
        runningCount = busy;
        offeredSlots = offered;
        meanRunSeconds = lanes.slotIntervalNanos(1) / NANOS_PER_SECOND;
        nextWake = computeNextWake(now, steady > 0);
    }

    private long computeNextWake(long now, boolean decaying) {
        long wait = decaying ? GROWTH_NANOS : Long.MAX_VALUE;
        if (lanes.size() > 0) {
            wait = Math.min(wait, sweptNanos + SWEEP_NANOS - now);
        }
        if (!runningByDeadline.isEmpty()) {
            wait = Math.min(wait, runningByDeadline.first().request.deadlineNanos() - now);
        }
        if (!delayed.isEmpty()) {
            wait = Math.min(wait, delayed.first().wakeNanos - now);
        }
        return wait == Long.MAX_VALUE ? Long.MAX_VALUE : now + Math.max(0, wait);
    }

    /** Returns how many slots would serve the demand, from any thread. */
    public int wantedSlots() {
        return wantedSlots;
    }

    /** Returns the slots that arrivals ask for, arrival rate times run time, from any thread. */
    public double offeredSlots() {
        return offeredSlots;
    }

    /** Returns the mean run time that is reckoned with, in seconds, from any thread. */
    public double meanRunSeconds() {
        return meanRunSeconds;
    }

    /** Returns how many requests wait, from any thread. */
    public int queued() {
        return queuedCount;
    }

    /** Returns how many attempts hold a slot, from any thread. */
    public int running() {
        return runningCount;
    }

    /** Returns how many attempts hold a slot of a worker; only between events. */
    public int running(WorkerId worker) {
        return slots.running(worker);
    }

    /** Returns when {@link #tick} is due, {@code Long.MAX_VALUE} for never; from any thread. */
    public long nextWakeNanos() {
        return nextWake;
    }

    private record Refusal(Reason reason, double lateNanos) {}
}
