package org.crocusgrade.bench.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Upper bound on the slot time that any dispatcher can spend on requests that end by their
 * deadline, for a given schedule and number of slots.
 *
 * <p>Idea: relax the problem to a fluid. All slots together serve the pending request with the
 * earliest deadline (earliest deadline first), as if a request could be split over any number of
 * slots and its run time were known. A request is dropped at its deadline, and the part that was
 * served until then still counts.
 *
 * <p>Why it is a bound: in the relaxed problem no order of service completes more work in time than
 * earliest deadline first. A real dispatcher runs each request on one slot and without
 * interruption, which is one of the ways to serve the relaxed problem.
 */
public final class EdfWorkBound {
    private EdfWorkBound() {}

    /** Returns the bound in nanoseconds of slot time, for the given interval. */
    public static double workNanos(Schedule schedule, int slots, long fromNanos, long toNanos) {
        return workNanos(schedule, slots, toNanos) - workNanos(schedule, slots, fromNanos);
    }

    private static double workNanos(Schedule schedule, int slots, long untilNanos) {
        PriorityQueue<PendingRequest> pending =
                new PriorityQueue<>(Comparator.comparingLong(entry -> entry.deadlineNanos));
        double served = 0;
        double now = 0;
        for (Schedule.Arrival arrival : schedule.arrivals()) {
            if (arrival.atNanos() >= untilNanos) {
                break;
            }
            served += serve(pending, now, arrival.atNanos(), slots);
            now = arrival.atNanos();
            pending.add(new PendingRequest(arrival.request().deadlineNanos(), arrival.runNanos()));
        }
        return served + serve(pending, now, untilNanos, slots);
    }

    private static double serve(
            PriorityQueue<PendingRequest> pending, double from, double to, int slots) {
        double served = 0;
        double now = from;
        while (now < to && !pending.isEmpty()) {
            PendingRequest first = pending.peek();
            double end =
                    Math.min(Math.min(to, first.deadlineNanos), now + first.remainingNanos / slots);
            if (end > now) {
                served += (end - now) * slots;
                first.remainingNanos -= (end - now) * slots;
                now = end;
            }
            if (first.remainingNanos <= 1 || first.deadlineNanos <= now) {
                pending.poll();
            }
        }
        return served;
    }

    private static final class PendingRequest {
        private final long deadlineNanos;
        private double remainingNanos;

        private PendingRequest(long deadlineNanos, double remainingNanos) {
            this.deadlineNanos = deadlineNanos;
            this.remainingNanos = remainingNanos;
        }
    }
}
