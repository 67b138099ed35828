package org.crocusgrade.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.id.CustomerId;

/**
 * The two priority levels of a service's waiting requests, urgent and ordinary, with the wait
 * estimates by which requests are admitted or dropped.
 *
 * <p>Urgent requests start first, but while ordinary requests wait, every {@link
 * #ORDINARY_START_INTERVAL}th start is ordinary, so that ordinary requests do not starve. Where
 * ordinary runs are so long that slots become free too rarely to start urgent requests in time,
 * some slots are reserved for urgent requests as long as such requests arrive.
 *
 * <p>The wait of a request is estimated as the work ahead of it, in slot time by the learned mean
 * run times, divided by the number of slots. A new request whose estimated wait and run time
 * together exceed the time to its deadline is refused: a slot spent on a run that ends too late is
 * lost to another request that would have been in time. The run time used is {@link
 * RunTimes#requiredNanos}. An admitted request is dropped only if it would be late even if its wait
 * was overestimated. For must-finish services both checks are lenient: they take half of the
 * estimated wait and a low quantile of the run time. Except for a customer's own quota, nothing is
 * refused by an estimate while slots are free, and nothing at all before enough runs were measured.
 */
final class PriorityLevels {
    /** While ordinary requests wait, one start in this many is ordinary. */
    static final int ORDINARY_START_INTERVAL = 8;

    /** The time within which an urgent request should start. */
    static final long URGENT_START_NANOS = 2_000_000_000L;

    private static final double LONG_RUN_QUANTILE = 0.9;
    private static final double PROMPT_DROP_WAIT_RATIO = 0.8;
    private static final double MUST_FINISH_RUN_QUANTILE = 0.1;
    private static final double MUST_FINISH_WAIT_RATIO = 0.5;
    private static final double HORIZON_DECAY = 0.999;
    private static final double MAX_RESERVED_SHARE = 0.25;
    private static final double MIN_URGENT_COUNT = 1e-6;

    private QueueSettings settings;
    private final Level urgent;
    private final Level ordinary;
    private final RateMeter startedWork = new RateMeter();
    private int urgentStarts;

    PriorityLevels(QueueSettings settings) {
        this.settings = settings;
        urgent = new Level(new RunTimes(settings.declaredRunTime()));
        ordinary = new Level(new RunTimes(settings.declaredRunTime()));
    }

    /** Replaces the settings; queues and learned run times stay. */
    void configure(QueueSettings changed) {
        settings = changed;
    }

    int size() {
        return urgent.queue.size() + ordinary.queue.size();
    }

    void add(PendingRequest pending, long now) {
        level(pending.request).queue.add(pending, now);
    }

    boolean remove(PendingRequest pending) {
        return level(pending.request).queue.remove(pending);
    }

    /** Records the arrival of a request, whether it is admitted or refused. */
    void recordArrival(Request request, long now) {
        Level level = level(request);
        level.arrivals.mark(now);
        double remaining = request.deadlineNanos() - now;
        level.horizonNanos = Math.max(remaining, level.horizonNanos * HORIZON_DECAY);
    }

    /** Adds a measured run time to the statistics of the request's level. */
    void recordRunTime(Request request, long nanos) {
        level(request).runTimes.add(nanos);
    }

    /** Returns the expected run time. */
    double meanNanos(Request request) {
        return level(request).runTimes.meanNanos();
    }

    /** Releases the customer's slot at the end of a run and corrects its charge. */
    void ended(Request request, double correctionNanos) {
        level(request).queue.ended(request.customer(), correctionNanos);
    }

    /** Returns the offered load in slots: arrival rate times mean run time, over both levels. */
    double offeredSlots(long now) {
        return urgent.offeredSlots(now) + ordinary.offeredSlots(now);
    }

    /**
     * Removes and returns the next request to start.
     *
     * @param free the free slots
     * @param slots the granted slots
     * @return null if none may start
     */
    PendingRequest poll(Predicate<PendingRequest> startable, int free, int slots, long now) {
        boolean ordinaryDue =
                urgentStarts >= ORDINARY_START_INTERVAL - 1 && ordinary.queue.size() > 0;
        PendingRequest next = ordinaryDue ? pollOrdinary(startable, free, slots, now) : null;
        if (next == null) {
            next = poll(urgent, ordinary, startable, now);
            if (next != null) {
                urgentStarts++;
                return next;
            }
            next = ordinaryDue ? null : pollOrdinary(startable, free, slots, now);
        }
        if (next != null) {
            urgentStarts = 0;
        }
        return next;
    }

    private PendingRequest pollOrdinary(
            Predicate<PendingRequest> startable, int free, int slots, long now) {
        if (free <= reserve(slots, now)) {
            return null;
        }
        return poll(ordinary, urgent, startable, now);
    }

    private PendingRequest poll(
            Level level, Level other, Predicate<PendingRequest> startable, long now) {
        double cost = level.runTimes.meanNanos();
        PendingRequest next =
                level.queue.poll(
                        customer -> settings.slotLimit(customer) - other.queue.running(customer),
                        startable,
                        cost,
                        now);
        if (next != null) {
            startedWork.mark(cost, now);
        }
        return next;
    }

    /** Returns the number of slots that ordinary requests must leave free for urgent ones. */
    int reserve(int slots, long now) {
        if (slots < 2 || urgent.arrivals.count(now) < MIN_URGENT_COUNT) {
            return 0;
        }
        double nextFreeNanos = ordinary.runTimes.quantileNanos(LONG_RUN_QUANTILE) / slots;
        if (nextFreeNanos <= URGENT_START_NANOS / 4.0) {
            return 0;
        }
        int max = Math.max(1, (int) (slots * MAX_RESERVED_SHARE));
        return Math.min(max, 1 + (int) Math.ceil(urgent.offeredSlots(now)));
    }

    /**
     * Decides whether a new request may wait.
     *
     * @param free the free slots
     * @param slots the number of slots to estimate waits with
     * @return null if the request may wait
     */
    Rejection admit(Request request, int free, int slots, long now) {
        Level level = level(request);
        if (!level.runTimes.hasEnoughSamples()) {
            return null;
        }
        double slack = request.deadlineNanos() - now - requiredRunNanos(level);
        int limit = settings.slotLimit(request.customer());
        if (limit != Integer.MAX_VALUE) {
            int own = urgent.queue.size(request.customer()) + slotsHeld(request.customer());
            own += ordinary.queue.size(request.customer());
            double late = waitNanos(own - limit + 1, level.runTimes.meanNanos(), limit) - slack;
            if (own >= limit && late > 0) {
                return new Rejection(Reason.QUOTA, late);
            }
        }
        int reserved = request.urgent() ? 0 : reserve(slots, now);
        if (free > reserved) {
            return null;
        }
        double mean = level.runTimes.meanNanos();
        int ahead = level.queue.ahead(request, mean);
        double wait = levelWait(request.urgent(), ahead, slots);
        wait = Math.max(wait, shareWait(level, request, level.queue.position(request), slots, now));
        double late = wait * admitRatio() - slack;
        double share = level.queue.share(request.customer(), startedWork.count(now), now);
        double addedWait =
                mean / slots / Math.min(share, 1.0 / Math.max(1, level.queue.waitingCustomers()));
        late = Math.max(late, addedWait - level.queue.minSlackBehind(request));
        if (late > 0) {
            return new Rejection(Reason.DEADLINE_UNREACHABLE, late);
        }
        level.queue.reduceSlackBehind(request, addedWait);
        return null;
    }

    /**
     * Returns the wait for a position among the customer's own requests at the rate at which the
     * customer's work started recently. It exceeds the estimate by queue order when customers that
     * have nothing waiting at the moment keep sending requests.
     */
    private double shareWait(Level level, Request request, int position, int slots, long now) {
        double share = level.queue.share(request.customer(), startedWork.count(now), now);
        return (position + 1) * level.runTimes.meanNanos() / (slots * share);
    }

    private double levelWait(boolean isUrgent, int ahead, int slots) {
        double urgentMean = urgent.runTimes.meanNanos();
        double ordinaryMean = ordinary.runTimes.meanNanos();
        double work;
        if (isUrgent) {
            int between = Math.min(ordinary.queue.size(), ahead / (ORDINARY_START_INTERVAL - 1));
            work = (ahead + 1) * urgentMean + between * ordinaryMean;
        } else {
            int between =
                    Math.min(urgent.queue.size(), (ahead + 1) * (ORDINARY_START_INTERVAL - 1));
            work = (ahead + 1) * ordinaryMean + between * urgentMean;
        }
        return work / slots;
    }

    /** Returns the waiting requests that would probably miss their deadlines. */
    List<PendingRequest> listUnreachable(int slots, long now) {
        List<PendingRequest> late = new ArrayList<>();
        listUnreachable(urgent, true, slots, now, late);
        listUnreachable(ordinary, false, slots, now, late);
        return late;
    }

    private void listUnreachable(
            Level level, boolean isUrgent, int slots, long now, List<PendingRequest> late) {
        Map<CustomerId, Integer> limited = new HashMap<>();
        double mean = level.runTimes.meanNanos();
        int ahead = 0;
        for (PendingRequest pending : level.queue.inOrder(mean)) {
            CustomerId customer = pending.request.customer();
            double levelWait = levelWait(isUrgent, ahead, slots);
            double ownWait = 0;
            int limit = settings.slotLimit(customer);
            if (limit != Integer.MAX_VALUE) {
                int own = limited.getOrDefault(customer, slotsHeld(customer));
                ownWait = waitNanos(own - limit + 1, mean, limit);
                limited.put(customer, own + 1);
            }
            double shareWait = shareWait(level, pending.request, pending.position, slots, now);
            double worst = Math.max(shareWait, Math.max(levelWait, ownWait));
            pending.slackNanos =
                    pending.request.deadlineNanos()
                            - now
                            - worst * admitRatio()
                            - requiredRunNanos(level);
            if (isUnreachable(pending, worst, now)) {
                late.add(pending);
            } else if (ownWait <= levelWait) {
                ahead++;
            }
        }
    }

    /** Returns whether a request would probably miss its deadline after the given wait. */
    boolean isUnreachable(PendingRequest pending, double waitNanos, long now) {
        long remaining = pending.request.deadlineNanos() - now;
        Level level = level(pending.request);
        if (remaining <= 0 || !level.runTimes.hasEnoughSamples()) {
            return remaining <= 0;
        }
        boolean prompt = settings.serviceClass() == ServiceClass.PROMPT;
        double ratio = prompt ? PROMPT_DROP_WAIT_RATIO : MUST_FINISH_WAIT_RATIO;
        return waitNanos * ratio + requiredRunNanos(level) > remaining;
    }

    /**
     * Returns the waiting request to drop from a full queue in favor of a new one: an ordinary one
     * for an urgent one, else one of a customer with at least two more waiting than the new
     * request's customer; null if the new request is to be refused.
     */
    PendingRequest displacedBy(Request request) {
        Level level = request.urgent() && ordinary.queue.size() > 0 ? ordinary : level(request);
        PendingRequest last = level.queue.lastOfLongest();
        if (last == null || level != level(request)) {
            return last;
        }
        int own = level.queue.size(request.customer());
        return level.queue.size(last.request.customer()) > own + 1 ? last : null;
    }

    /** Returns the mean interval between slots becoming free, by the longer mean run time. */
    double slotIntervalNanos(int slots) {
        return slowestMean() / Math.max(1, slots);
    }

    private double slowestMean() {
        double ordinaryMean = ordinary.queue.size() > 0 ? ordinary.runTimes.meanNanos() : 0;
        double urgentMean = urgent.queue.size() > 0 ? urgent.runTimes.meanNanos() : 0;
        double max = Math.max(ordinaryMean, urgentMean);
        return max > 0 ? max : ordinary.runTimes.meanNanos();
    }

    private int slotsHeld(CustomerId customer) {
        return urgent.queue.running(customer) + ordinary.queue.running(customer);
    }

    private double requiredRunNanos(Level level) {
        return settings.serviceClass() == ServiceClass.PROMPT
                ? level.runTimes.requiredNanos(level.horizonNanos, settings.cancelRunning())
                : level.runTimes.quantileNanos(MUST_FINISH_RUN_QUANTILE);
    }

    private double admitRatio() {
        return settings.serviceClass() == ServiceClass.PROMPT ? 1.0 : MUST_FINISH_WAIT_RATIO;
    }

    private Level level(Request request) {
        return request.urgent() ? urgent : ordinary;
    }

    private static double waitNanos(int position, double mean, int slots) {
        return Math.max(0, position) * mean / slots;
    }

    /**
     * The refusal of a new request.
     *
     * @param reason the reason given to the caller
     * @param lateNanos by how much the request would miss its deadline
     */
    record Rejection(Reason reason, double lateNanos) {}

    private static final class Level {
        private final FairQueue queue = new FairQueue();
        private final RateMeter arrivals = new RateMeter();
        private final RunTimes runTimes;
        private double horizonNanos;

        private Level(RunTimes runTimes) {
            this.runTimes = runTimes;
        }

        private double offeredSlots(long now) {
            return arrivals.perNano(now) * runTimes.meanNanos();
        }
    }
}
