package org.crocusgrade.core.customer.cap;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.submission.Resources;

/**
 * The limits that the owner of a pool applies to customers with a resource cap: those of the newest
 * grant, by token and sequence. A customer with a cap but without a grant has the limit 0. Not
 * thread-safe.
 */
public final class CapLedger {
    private final long ownerToken;
    private Set<CustomerId> capped = Set.of();
    private Map<CustomerId, Resources> limits = Map.of();
    private long leastToken;
    private long grantToken;
    private long grantSequence;

    /**
     * Makes a ledger without grants.
     *
     * @param ownerToken the fencing token of the ownership; grants for others are ignored
     */
    public CapLedger(long ownerToken) {
        this.ownerToken = ownerToken;
    }

    /** Sets the customers that have a cap in the configuration in force here. */
    public void setCapped(Set<CustomerId> customers) {
        capped = Set.copyOf(customers);
    }

    /**
     * Rejects from now on grants of holders of the fleet duty before the one with this token. A new
     * owner has seen no grant yet, so only the store can tell it that a holder has been replaced.
     */
    public void requireToken(long token) {
        leastToken = Math.max(leastToken, token);
    }

    /** Applies a grant; returns false if it is outdated or for another ownership. */
    public boolean onGrant(CapGrant grant) {
        boolean outdated =
                grant.token() < leastToken || grant.isOlderThan(grantToken, grantSequence);
        if (outdated || grant.ownerToken() != ownerToken) {
            return false;
        }
        leastToken = grant.token();
        grantToken = grant.token();
        grantSequence = grant.sequence();
        Map<CustomerId, Resources> next = new HashMap<>();
        grant.limits().forEach((c, amount) -> next.put(c, amount.orElseGet(() -> limit(c))));
        limits = next;
        return true;
    }

    /** Returns whether no customer has a limit. */
    public boolean isEmpty() {
        return capped.isEmpty() && limits.isEmpty();
    }

    /** Returns whether a customer has a cap, by the configuration here or at the grants' sender. */
    public boolean isLimited(CustomerId customer) {
        return capped.contains(customer) || limits.containsKey(customer);
    }

    /** Returns the customers with a limit. */
    public Set<CustomerId> limited() {
        Set<CustomerId> all = new HashSet<>(capped);
        all.addAll(limits.keySet());
        return all;
    }

    /** Returns the limit of a customer with a cap. */
    public Resources limit(CustomerId customer) {
        return limits.getOrDefault(customer, Resources.NONE);
    }

    /** Returns the limit of a customer, if it has one. */
    public Optional<Resources> findLimit(CustomerId customer) {
        return isLimited(customer) ? Optional.of(limit(customer)) : Optional.empty();
    }

    /** Returns whether tasks of a customer may start beside what it has running. */
    public boolean mayStart(CustomerId customer, Resources running, Resources demand) {
        if (!isLimited(customer)) {
            return true;
        }
        Resources limit = limit(customer);
        return fits(running.milliCores(), demand.milliCores(), limit.milliCores())
                && fits(running.memoryMb(), demand.memoryMb(), limit.memoryMb())
                && fits(running.accelerators(), demand.accelerators(), limit.accelerators());
    }

    /** A task that needs none of a resource is not kept by the limit of that resource. */
    private static boolean fits(long running, long demand, long limit) {
        return demand == 0 || running + demand <= limit;
    }

    /** Returns the token of the latest grant received; 0 if none. */
    public long grantToken() {
        return grantToken;
    }

    /** Returns the sequence of the latest grant received. */
    public long grantSequence() {
        return grantSequence;
    }
}
