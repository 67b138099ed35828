package org.crocusgrade.bench.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The most work that any dispatcher could finish in time on a schedule with a number of slots.
 *
 * <p>The bound lets work flow: all slots together serve the request with the earliest deadline,
 * with its run time known, as if it could be split, and drop it at its deadline with what was
 * served still counted. Serving by earliest deadline serves as much work in time as any order can,
 * and each real dispatcher, which serves a request on one slot, uncut, is one way to do no better.
 */
public final class CarryBound {
    private CarryBound() {}

    /** Returns the bound in nanoseconds of slot time, for the time between two times. */
    public static double workNanos(Schedule schedule, int slots, long fromNanos, long toNanos) {
        return workNanos(schedule, slots, toNanos) - workNanos(schedule, slots, fromNanos);
    }

    private static double workNanos(Schedule schedule, int slots, long untilNanos) {
        PriorityQueue<Open> open =
                new PriorityQueue<>(Comparator.comparingLong(entry -> entry.deadlineNanos));
        double served = 0;
        double now = 0;
        for (Schedule.Arrival arrival : schedule.arrivals()) {
            if (arrival.atNanos() >= untilNanos) {
                break;
            }
            served += serve(open, now, arrival.atNanos(), slots);
            now = arrival.atNanos();
            open.add(new Open(arrival.request().deadlineNanos(), arrival.runNanos()));
        }
        return served + serve(open, now, untilNanos, slots);
    }

    private static double serve(PriorityQueue<Open> open, double from, double to, int slots) {
        double served = 0;
        double now = from;
        while (now < to && !open.isEmpty()) {
            Open first = open.peek();
            double end = Math.min(Math.min(to, first.deadlineNanos), now + first.left / slots);
            if (end > now) {
                served += (end - now) * slots;
                first.left -= (end - now) * slots;
                now = end;
            }
            if (first.left <= 1 || first.deadlineNanos <= now) {
                open.poll();
            }
        }
        return served;
    }

    private static final class Open {
        private final long deadlineNanos;
        private double left;

        private Open(long deadlineNanos, double left) {
            this.deadlineNanos = deadlineNanos;
            this.left = left;
        }
    }
}
