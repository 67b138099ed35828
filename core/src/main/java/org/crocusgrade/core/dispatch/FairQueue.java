package org.crocusgrade.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.crocusgrade.core.id.CustomerId;

/**
 * Waiting requests in start order: between customers by start-time fair queueing, and by earliest
 * deadline within one customer.
 *
 * <p>Each customer has a tag, the slot time charged to it so far, in nanoseconds. The customer with
 * the lowest tag is served next; a start adds the expected run time to its tag, and the end of the
 * run corrects the tag to the actual run time. A customer that returns after a pause starts at the
 * queue's virtual time, the tag of the last start, so that it neither accumulates credit while idle
 * nor pays for the others' backlog.
 *
 * <p>Fairness: between two customers that both wait all the time, tags differ by at most one run of
 * each, since only the lower tag is ever raised; so their slot time differs by at most that,
 * however many requests one of them sends. Example: A sends 100 requests, then B sends 2, all of 10
 * ms, on one slot. A starts at tag 0; after its first start A is at 10 and B enters at 0, so B
 * starts, ties with A at 10, and its second request starts no later than after A's second.
 *
 * <p>Load: slow where thousands of customers wait at once and those with the lowest tags are at
 * their quota, since each start then examines each of them.
 */
final class FairQueue {
    /** Requests of one customer that are tried on the free slots before the next customer's are. */
    private static final int LOOK_AHEAD = 8;

    private static final long MIN_WAIT_FOR_SHARE_NANOS = 200_000_000L;
    private static final int ADDS_PER_PRUNE = 1024;
    private static final double NEGLIGIBLE_NANOS = 1e4;
    private static final double MIN_SHARE = 0.001;

    private static final Comparator<Flow> BY_TAG =
            Comparator.<Flow>comparingDouble(flow -> flow.tag)
                    .thenComparing(flow -> flow.customer.value());

    private final Map<CustomerId, Flow> flows = new HashMap<>();
    private final TreeSet<Flow> active = new TreeSet<>(BY_TAG);
    private double virtualNanos;
    private int size;
    private long added;

    /** Returns the number of waiting requests. */
    int size() {
        return size;
    }

    /** Returns the number of a customer's waiting requests. */
    int size(CustomerId customer) {
        Flow flow = flows.get(customer);
        return flow == null ? 0 : flow.waiting.size();
    }

    void add(PendingRequest pending, long now) {
        if (++added % ADDS_PER_PRUNE == 0) {
            prune(now);
        }
        Flow flow = flows.computeIfAbsent(pending.request.customer(), Flow::new);
        if (flow.waiting.isEmpty()) {
            flow.waitingSinceNanos = now;
            flow.tag = Math.max(flow.tag, virtualNanos);
            active.add(flow);
        }
        flow.waiting.add(pending);
        size++;
    }

    /** Removes a request; returns false if it does not wait here. */
    boolean remove(PendingRequest pending) {
        Flow flow = flows.get(pending.request.customer());
        if (flow == null || !flow.waiting.remove(pending)) {
            return false;
        }
        size--;
        if (flow.waiting.isEmpty()) {
            active.remove(flow);
        }
        return true;
    }

    /**
     * Removes the next request that may start, and charges its customer.
     *
     * @param limit the most slots that a customer may hold
     * @param startable whether the request may start now and a suitable slot is free
     * @param costNanos the expected run time
     * @return null if none may start
     */
    PendingRequest poll(
            ToIntFunction<CustomerId> limit,
            Predicate<PendingRequest> startable,
            double costNanos,
            long now) {
        for (Flow flow : active) {
            if (flow.running >= limit.applyAsInt(flow.customer)) {
                continue;
            }
            PendingRequest pending = firstStartable(flow, startable);
            if (pending == null) {
                continue;
            }
            active.remove(flow);
            flow.waiting.remove(pending);
            size--;
            virtualNanos = Math.max(virtualNanos, flow.tag);
            flow.tag += costNanos;
            flow.running++;
            flow.startedWork.mark(costNanos, now);
            if (!flow.waiting.isEmpty()) {
                active.add(flow);
            }
            return pending;
        }
        return null;
    }

    private static PendingRequest firstStartable(Flow flow, Predicate<PendingRequest> startable) {
        int tried = 0;
        for (PendingRequest pending : flow.waiting) {
            if (startable.test(pending)) {
                return pending;
            }
            if (++tried == LOOK_AHEAD) {
                return null;
            }
        }
        return null;
    }

    /** Records the end of a run; the correction is the actual minus the charged run time. */
    void ended(CustomerId customer, double correctionNanos) {
        Flow flow = flows.get(customer);
        flow.running--;
        boolean waits = !flow.waiting.isEmpty();
        if (waits) {
            active.remove(flow);
        }
        flow.tag += correctionNanos;
        if (waits) {
            active.add(flow);
        }
    }

    /** Returns the number of slots that the customer's requests of this queue hold. */
    int running(CustomerId customer) {
        Flow flow = flows.get(customer);
        return flow == null ? 0 : flow.running;
    }

    /** Returns how many of the customer's waiting requests would start before a new one. */
    int position(Request request) {
        Flow own = flows.get(request.customer());
        return own == null ? 0 : own.dueNoLater(request.deadlineNanos());
    }

    /**
     * Returns the customer's share of the recently started work while the customer waits; 1 if it
     * has not waited long enough for an estimate.
     *
     * @param allStarted the service's recently started work, in nanoseconds of slot time
     */
    double share(CustomerId customer, double allStarted, long now) {
        Flow own = flows.get(customer);
        if (own == null
                || own.waiting.isEmpty()
                || now - own.waitingSinceNanos < MIN_WAIT_FOR_SHARE_NANOS
                || allStarted <= 0) {
            return 1;
        }
        return Math.max(MIN_SHARE, own.startedWork.count(now) / allStarted);
    }

    /**
     * Returns how many waiting requests would start before a new one.
     *
     * @param costNanos the expected run time of a request
     */
    int ahead(Request request, double costNanos) {
        Flow own = flows.get(request.customer());
        int dueNoLater = own == null ? 0 : own.dueNoLater(request.deadlineNanos());
        return ahead(own, dueNoLater, costNanos);
    }

    /** Returns the smallest slack of the customer's requests that a new one would delay. */
    double minSlackBehind(Request request) {
        Flow own = flows.get(request.customer());
        double least = Double.MAX_VALUE;
        if (own == null) {
            return least;
        }
        for (PendingRequest pending : own.waiting.descendingSet()) {
            if (pending.request.deadlineNanos() - request.deadlineNanos() <= 0) {
                break;
            }
            least = Math.min(least, pending.slackNanos);
        }
        return least;
    }

    /** Reduces the slack of the customer's requests that a new one delays. */
    void reduceSlackBehind(Request request, double nanos) {
        Flow own = flows.get(request.customer());
        if (own == null) {
            return;
        }
        for (PendingRequest pending : own.waiting.descendingSet()) {
            if (pending.request.deadlineNanos() - request.deadlineNanos() <= 0) {
                break;
            }
            pending.slackNanos -= nanos;
        }
    }

    /** Returns the number of customers with waiting requests. */
    int waitingCustomers() {
        return active.size();
    }

    private int ahead(Flow own, int dueNoLater, double costNanos) {
        double tag = own == null ? virtualNanos : Math.max(own.tag, virtualNanos);
        double newTag = tag + dueNoLater * costNanos;
        int count = dueNoLater;
        for (Flow flow : active) {
            if (flow.tag > newTag) {
                break;
            }
            if (flow != own) {
                double starts = Math.floor((newTag - flow.tag) / costNanos) + 1;
                count += (int) Math.min(flow.waiting.size(), starts);
            }
        }
        return count;
    }

    /** Returns the last request of the customer with the most waiting requests; null if empty. */
    PendingRequest lastOfLongest() {
        Flow longest = null;
        for (Flow flow : active) {
            if (longest == null || flow.waiting.size() > longest.waiting.size()) {
                longest = flow;
            }
        }
        return longest == null ? null : longest.waiting.last();
    }

    /** Returns all waiting requests in the order in which they would start. */
    List<PendingRequest> inOrder(double costNanos) {
        List<PendingRequest> order = new ArrayList<>(size);
        PriorityQueue<Cursor> heap =
                new PriorityQueue<>(
                        Comparator.<Cursor>comparingDouble(cursor -> cursor.tag)
                                .thenComparing(cursor -> cursor.customer));
        for (Flow flow : active) {
            heap.add(new Cursor(flow));
        }
        while (!heap.isEmpty()) {
            Cursor cursor = heap.poll();
            PendingRequest next = cursor.waiting.next();
            next.position = cursor.position++;
            order.add(next);
            if (cursor.waiting.hasNext()) {
                cursor.tag += costNanos;
                heap.add(cursor);
            }
        }
        return order;
    }

    /**
     * Removes idle customers whose tag the virtual time has reached and whose recent work is
     * negligible: their state would be the same if they were added anew.
     */
    private void prune(long now) {
        flows.values()
                .removeIf(
                        flow ->
                                flow.waiting.isEmpty()
                                        && flow.running == 0
                                        && flow.tag <= virtualNanos
                                        && flow.startedWork.count(now) < NEGLIGIBLE_NANOS);
    }

    private static final class Flow {
        private final CustomerId customer;
        private final TreeSet<PendingRequest> waiting = new TreeSet<>(PendingRequest::byDeadline);
        private final RateMeter startedWork = new RateMeter();
        private double tag;
        private int running;
        private long waitingSinceNanos;

        private Flow(CustomerId customer) {
            this.customer = customer;
        }

        private int dueNoLater(long deadlineNanos) {
            int count = 0;
            for (PendingRequest pending : waiting) {
                if (pending.request.deadlineNanos() - deadlineNanos > 0) {
                    break;
                }
                count++;
            }
            return count;
        }
    }

    private static final class Cursor {
        private final Iterator<PendingRequest> waiting;
        private final String customer;
        private double tag;
        private int position;

        private Cursor(Flow flow) {
            waiting = flow.waiting.iterator();
            customer = flow.customer.value();
            tag = flow.tag;
        }
    }
}
