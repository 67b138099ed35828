package org.crocusgrade.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.id.CustomerId;

/**
 * The two waiting lanes of a service, urgent and ordinary, and the waits to expect in them.
 *
 * <p>Urgent work goes first, but while ordinary work waits every {@link #ORDINARY_TURN}th start is
 * ordinary, so that it cannot starve. Where ordinary runs are long, so that slots come free too
 * seldom to start urgent work in time, some slots are kept for urgent work as long as such work
 * comes in.
 *
 * <p>The wait of a request is estimated as the work ahead of it, in slot time by the learned mean
 * run times, over the slots. A request whose wait and run time together pass its deadline is
 * refused: a slot spent on a run that ends too late is lost to another that would have been in
 * time. The run time reckoned with is {@link RunTimes#enoughNanos}. One that was taken is given up
 * only when it would be late even if its wait is overestimated. Must-finish work is given the
 * benefit of the doubt in both cases. Nothing is refused by an estimate while slots are free or
 * before runs were seen.
 */
final class Lanes {
    /** While ordinary work waits, one start in this many is ordinary. */
    static final int ORDINARY_TURN = 8;

    /** Urgent work starts within this time, in nanoseconds. */
    static final long URGENT_START_NANOS = 2_000_000_000L;

    private static final double LONG_RUN_QUANTILE = 0.9;
    private static final double PROMPT_KEEP_WAIT_RATIO = 0.8;
    private static final double FINISH_QUANTILE = 0.1;
    private static final double FINISH_WAIT_RATIO = 0.5;
    private static final double HORIZON_FADE = 0.999;
    private static final double RESERVE_AT_MOST = 0.25;
    private static final double MIN_URGENT_COUNT = 1e-6;

    private QueueSettings settings;
    private final Lane urgent;
    private final Lane ordinary;
    private final RateMeter started = new RateMeter();
    private int urgentStarts;

    Lanes(QueueSettings settings) {
        this.settings = settings;
        urgent = new Lane(new RunTimes(settings.declaredRunTime()));
        ordinary = new Lane(new RunTimes(settings.declaredRunTime()));
    }

    /** Takes changed settings. */
    void configure(QueueSettings changed) {
        settings = changed;
    }

    int size() {
        return urgent.queue.size() + ordinary.queue.size();
    }

    void add(PendingRequest pending, long now) {
        lane(pending.request).queue.add(pending, now);
    }

    boolean remove(PendingRequest pending) {
        return lane(pending.request).queue.remove(pending);
    }

    /** Counts an arrival, refused or not. */
    void arrived(Request request, long now) {
        Lane lane = lane(request);
        lane.arrivals.mark(now);
        double left = request.deadlineNanos() - now;
        lane.horizonNanos = Math.max(left, lane.horizonNanos * HORIZON_FADE);
    }

    /** Learns the time of a run. */
    void ran(Request request, long nanos) {
        lane(request).runTimes.add(nanos);
    }

    /** Returns the mean run time to expect. */
    double meanNanos(Request request) {
        return lane(request).runTimes.meanNanos();
    }

    /** Settles a customer's charge at the end of a run. */
    void ended(Request request, double correctionNanos) {
        lane(request).queue.ended(request.customer(), correctionNanos);
    }

    /** Returns the slot time that arrives for each unit of time: the slots that keep up with it. */
    double offeredSlots(long now) {
        return urgent.offeredSlots(now) + ordinary.offeredSlots(now);
    }

    /**
     * Takes the next request to start.
     *
     * @param free the free slots
     * @param slots the granted slots
     * @return null if none may start
     */
    PendingRequest poll(Predicate<PendingRequest> startable, int free, int slots, long now) {
        boolean turn = urgentStarts >= ORDINARY_TURN - 1 && ordinary.queue.size() > 0;
        PendingRequest next = turn ? pollOrdinary(startable, free, slots, now) : null;
        if (next == null) {
            next = poll(urgent, ordinary, startable, now);
            if (next != null) {
                urgentStarts++;
                return next;
            }
            next = turn ? null : pollOrdinary(startable, free, slots, now);
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
            Lane lane, Lane other, Predicate<PendingRequest> startable, long now) {
        double cost = lane.runTimes.meanNanos();
        PendingRequest next =
                lane.queue.poll(
                        customer -> settings.slotLimit(customer) - other.queue.running(customer),
                        startable,
                        cost,
                        now);
        if (next != null) {
            started.mark(cost, now);
        }
        return next;
    }

    /** Returns the slots that are kept for urgent work. */
    int reserve(int slots, long now) {
        if (slots < 2 || urgent.arrivals.count(now) < MIN_URGENT_COUNT) {
            return 0;
        }
        double nextFreeNanos = ordinary.runTimes.quantileNanos(LONG_RUN_QUANTILE) / slots;
        if (nextFreeNanos <= URGENT_START_NANOS / 4.0) {
            return 0;
        }
        int most = Math.max(1, (int) (slots * RESERVE_AT_MOST));
        return Math.min(most, 1 + (int) Math.ceil(urgent.offeredSlots(now)));
    }

    /**
     * Returns why a new request must be refused, with how much too late it would be.
     *
     * @param free the free slots
     * @param slots the slots to reckon with
     * @return null if it may wait
     */
    Verdict admit(Request request, int free, int slots, long now) {
        Lane lane = lane(request);
        if (!lane.runTimes.known()) {
            return null;
        }
        double slack = request.deadlineNanos() - now - runNanos(lane);
        int limit = settings.slotLimit(request.customer());
        if (limit != Integer.MAX_VALUE) {
            int own = urgent.queue.size(request.customer()) + held(request.customer());
            own += ordinary.queue.size(request.customer());
            double late = waitNanos(own - limit + 1, lane.runTimes.meanNanos(), limit) - slack;
            if (own >= limit && late > 0) {
                return new Verdict(Reason.QUOTA, late);
            }
        }
        int kept = request.urgent() ? 0 : reserve(slots, now);
        if (free > kept) {
            return null;
        }
        double mean = lane.runTimes.meanNanos();
        int ahead = lane.queue.ahead(request, mean);
        double wait = laneWait(request.urgent(), ahead, slots);
        wait = Math.max(wait, shareWait(lane, request, lane.queue.position(request), slots, now));
        double late = wait * admitRatio() - slack;
        double share = lane.queue.share(request.customer(), started.count(now), now);
        double step = mean / slots / Math.min(share, 1.0 / Math.max(1, lane.queue.customers()));
        late = Math.max(late, step - lane.queue.leastSpareBehind(request));
        if (late > 0) {
            return new Verdict(Reason.DEADLINE_UNREACHABLE, late);
        }
        lane.queue.delayBehind(request, step);
        return null;
    }

    /**
     * Returns the wait for a place among the customer's own requests at the rate at which its work
     * started lately. It is more than the order tells when others, that do not wait, keep coming.
     */
    private double shareWait(Lane lane, Request request, int position, int slots, long now) {
        double share = lane.queue.share(request.customer(), started.count(now), now);
        return (position + 1) * lane.runTimes.meanNanos() / (slots * share);
    }

    private double laneWait(boolean isUrgent, int ahead, int slots) {
        double urgentMean = urgent.runTimes.meanNanos();
        double ordinaryMean = ordinary.runTimes.meanNanos();
        double work;
        if (isUrgent) {
            int between = Math.min(ordinary.queue.size(), ahead / (ORDINARY_TURN - 1));
            work = (ahead + 1) * urgentMean + between * ordinaryMean;
        } else {
            int between = Math.min(urgent.queue.size(), (ahead + 1) * (ORDINARY_TURN - 1));
            work = (ahead + 1) * ordinaryMean + between * urgentMean;
        }
        return work / slots;
    }

    /** Returns the waiting requests that cannot be answered in time any more. */
    List<PendingRequest> hopeless(int slots, long now) {
        List<PendingRequest> late = new ArrayList<>();
        hopeless(urgent, true, slots, now, late);
        hopeless(ordinary, false, slots, now, late);
        return late;
    }

    private void hopeless(
            Lane lane, boolean isUrgent, int slots, long now, List<PendingRequest> late) {
        Map<CustomerId, Integer> limited = new HashMap<>();
        double mean = lane.runTimes.meanNanos();
        int ahead = 0;
        for (PendingRequest pending : lane.queue.inOrder(mean)) {
            CustomerId customer = pending.request.customer();
            double laneWait = laneWait(isUrgent, ahead, slots);
            double ownWait = 0;
            int limit = settings.slotLimit(customer);
            if (limit != Integer.MAX_VALUE) {
                int own = limited.getOrDefault(customer, held(customer));
                ownWait = waitNanos(own - limit + 1, mean, limit);
                limited.put(customer, own + 1);
            }
            double shareWait = shareWait(lane, pending.request, pending.position, slots, now);
            double worst = Math.max(shareWait, Math.max(laneWait, ownWait));
            pending.spareNanos =
                    pending.request.deadlineNanos() - now - worst * admitRatio() - runNanos(lane);
            if (isHopeless(pending, worst, now)) {
                late.add(pending);
            } else if (ownWait <= laneWait) {
                ahead++;
            }
        }
    }

    /** Returns whether a waiting request would probably be late after this wait. */
    boolean isHopeless(PendingRequest pending, double waitNanos, long now) {
        long left = pending.request.deadlineNanos() - now;
        Lane lane = lane(pending.request);
        if (left <= 0 || !lane.runTimes.known()) {
            return left <= 0;
        }
        boolean prompt = settings.serviceClass() == ServiceClass.PROMPT;
        double ratio = prompt ? PROMPT_KEEP_WAIT_RATIO : FINISH_WAIT_RATIO;
        return waitNanos * ratio + runNanos(lane) > left;
    }

    /** Returns the request to give up when the queue is full, if that is fairer than the new. */
    PendingRequest displacedBy(Request request) {
        Lane lane = request.urgent() && ordinary.queue.size() > 0 ? ordinary : lane(request);
        PendingRequest last = lane.queue.lastOfLongest();
        if (last == null || lane != lane(request)) {
            return last;
        }
        int own = lane.queue.size(request.customer());
        return lane.queue.size(last.request.customer()) > own + 1 ? last : null;
    }

    /** Returns the time until one slot comes free, on average. */
    double slotIntervalNanos(int slots) {
        return slowestMean() / Math.max(1, slots);
    }

    private double slowestMean() {
        double ordinaryMean = ordinary.queue.size() > 0 ? ordinary.runTimes.meanNanos() : 0;
        double urgentMean = urgent.queue.size() > 0 ? urgent.runTimes.meanNanos() : 0;
        double most = Math.max(ordinaryMean, urgentMean);
        return most > 0 ? most : ordinary.runTimes.meanNanos();
    }

    private int held(CustomerId customer) {
        return urgent.queue.running(customer) + ordinary.queue.running(customer);
    }

    private double runNanos(Lane lane) {
        return settings.serviceClass() == ServiceClass.PROMPT
                ? lane.runTimes.enoughNanos(lane.horizonNanos, settings.cancelRunning())
                : lane.runTimes.quantileNanos(FINISH_QUANTILE);
    }

    private double admitRatio() {
        return settings.serviceClass() == ServiceClass.PROMPT ? 1.0 : FINISH_WAIT_RATIO;
    }

    private Lane lane(Request request) {
        return request.urgent() ? urgent : ordinary;
    }

    private static double waitNanos(int position, double mean, int slots) {
        return Math.max(0, position) * mean / slots;
    }

    /**
     * Why a request cannot be taken.
     *
     * @param reason the reason
     * @param lateNanos by how much it would be late
     */
    record Verdict(Reason reason, double lateNanos) {}

    private static final class Lane {
        private final FairQueue queue = new FairQueue();
        private final RateMeter arrivals = new RateMeter();
        private final RunTimes runTimes;
        private double horizonNanos;

        private Lane(RunTimes runTimes) {
            this.runTimes = runTimes;
        }

        private double offeredSlots(long now) {
            return arrivals.perNano(now) * runTimes.meanNanos();
        }
    }
}
