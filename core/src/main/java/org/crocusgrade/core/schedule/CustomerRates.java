package org.crocusgrade.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.id.CustomerId;

/**
 * Compares the submissions of each customer with its weight, the number per second that it is
 * entitled to, over a sliding window of one second.
 *
 * <p>Only submissions within the rate are counted: a customer that sends six times its weight all
 * the time still has its weight in unmarked submissions each second. A submission counts at its
 * first attempt, also if that is refused, because it keeps its entitlement until it returns.
 */
final class CustomerRates {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Map<CustomerId, Deque<Long>> counted = new HashMap<>();
    private CustomerDirectory inForce = CustomerDirectory.NONE;

    /**
     * Records the first attempt of a submission and returns whether it is beyond the rate. A
     * customer with a weight of 0 has no known rate and is never beyond it.
     */
    boolean isBeyondRate(Customer customer, long now) {
        if (customer.weight() == 0) {
            return false;
        }
        Deque<Long> recent = counted.computeIfAbsent(customer.id(), c -> new ArrayDeque<>());
        while (!recent.isEmpty() && now - recent.peek() >= WINDOW_NANOS) {
            recent.remove();
        }
        if (recent.size() >= customer.weight()) {
            return true;
        }
        recent.add(now);
        return false;
    }

    /** Forgets the customers that a new configuration does not name any more. */
    void retain(CustomerDirectory customers) {
        if (customers == inForce) {
            return;
        }
        inForce = customers;
        counted.keySet().removeIf(c -> customers.find(c).isEmpty());
    }
}
