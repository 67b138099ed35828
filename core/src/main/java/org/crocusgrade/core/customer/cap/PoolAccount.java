package org.crocusgrade.core.customer.cap;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.Resources;

/**
 * What the allocator knows of one pool: the latest report of its owner, the grants that the owner
 * may apply, and the amounts of former owners that must still be counted.
 */
final class PoolAccount {
    /**
     * Number of grants without a reflecting report after which only the last one is repeated, so
     * that an owner that cannot be reached costs bounded memory.
     */
    private static final int MAX_OPEN = 16;

    private final ServiceId pool;
    private final Map<CustomerId, long[]> former = new HashMap<>();
    private final Set<CustomerId> known = new HashSet<>();
    private final Deque<CapGrant> open = new ArrayDeque<>();
    private Optional<CapGrant> lastSent = Optional.empty();
    private Map<CustomerId, CapUsage> usage = Map.of();
    private long ownerToken;
    private long reportSequence;
    private long reportedNanos;
    private long reflected;
    private long sentNanos;
    private long unconfiguredNanos;
    private boolean configured = true;

    PoolAccount(ServiceId pool) {
        this.pool = pool;
    }

    ServiceId pool() {
        return pool;
    }

    long ownerToken() {
        return ownerToken;
    }

    boolean isConfigured() {
        return configured;
    }

    void setConfigured(boolean value, long now) {
        if (configured && !value) {
            unconfiguredNanos = now;
        }
        configured = value;
    }

    /** Returns whether the pool has been out of the configuration for a time. */
    boolean isGone(long nanos, long now) {
        return !configured && now - unconfiguredNanos > nanos;
    }

    /** Returns whether an owner has reported within a time. */
    boolean isReporting(long nanos, long now) {
        return ownerToken > 0 && now - reportedNanos <= nanos;
    }

    /** Records that an owner is alive; returns false if it is a former one. */
    boolean onOwner(long token, Set<CustomerId> customers, long now) {
        if (token < ownerToken) {
            return false;
        }
        if (token > ownerToken) {
            replaceOwner(token, customers);
        }
        reportedNanos = now;
        return true;
    }

    /**
     * Processes a report; returns false if it is outdated.
     *
     * @param token the allocator's token
     * @param addedSequences the sequence after which each grant has named a customer
     */
    boolean onReport(CapReport report, long token, Map<CustomerId, Long> addedSequences, long now) {
        boolean owned = onOwner(report.ownerToken(), addedSequences.keySet(), now);
        if (!owned || report.sequence() <= reportSequence) {
            return false;
        }
        reportSequence = report.sequence();
        usage = report.usage();
        if (report.grantToken() != token) {
            return true;
        }
        reflected = report.grantSequence();
        while (!open.isEmpty() && open.peek().sequence() <= reflected) {
            open.remove();
        }
        if (report.settled()) {
            addedSequences.forEach(
                    (customer, added) -> {
                        if (reflected > added) {
                            known.add(customer);
                            former.remove(customer);
                        }
                    });
        }
        return true;
    }

    /** The former owner may have applied any grant sent to it, until the new one has settled. */
    private void replaceOwner(long next, Set<CustomerId> customers) {
        if (ownerToken > 0) {
            for (CustomerId customer : customers) {
                long[] sum = former.computeIfAbsent(customer, c -> new long[Amounts.KINDS]);
                long[] counted = counted(customer);
                for (int k = 0; k < Amounts.KINDS; k++) {
                    sum[k] += counted[k];
                }
            }
        }
        ownerToken = next;
        open.clear();
        lastSent = Optional.empty();
        usage = Map.of();
        reportSequence = 0;
        reflected = 0;
    }

    /**
     * Returns whether everything that runs for a customer in the pool is known: once an owner with
     * knowledge of all its predecessors' runs has reflected a grant that names the customer, later
     * ownerships are all counted from their beginning.
     */
    boolean isKnown(CustomerId customer) {
        return known.contains(customer);
    }

    void forget(CustomerId customer) {
        known.remove(customer);
        former.remove(customer);
    }

    CapUsage usage(CustomerId customer) {
        return usage.getOrDefault(customer, CapUsage.NONE);
    }

    boolean hasUsage() {
        return !usage.isEmpty();
    }

    /** Returns what former owners may have running, by kind of resource. */
    long[] former(CustomerId customer) {
        return former.getOrDefault(customer, Amounts.ZERO);
    }

    /**
     * Returns the most that the present owner may have running now or start, by kind of resource:
     * the largest of what it reports as running and as its limit, and of the grants that its latest
     * report does not reflect.
     */
    long[] counted(CustomerId customer) {
        CapUsage reported = usage(customer);
        long[] most = Amounts.of(reported.running());
        Amounts.raise(most, reported.granted());
        for (CapGrant grant : open) {
            grant.limits()
                    .getOrDefault(customer, Optional.empty())
                    .ifPresent(amount -> Amounts.raise(most, amount));
        }
        return most;
    }

    /** Returns the limit that the owner applies, or will once it has received the last grant. */
    Resources lastLimit(CustomerId customer) {
        return lastSent.flatMap(s -> s.limits().getOrDefault(customer, Optional.empty()))
                .orElse(usage(customer).granted());
    }

    Optional<CapGrant> lastSent() {
        return lastSent;
    }

    /** Returns whether a new grant may be sent; otherwise only the last one may be repeated. */
    boolean acceptsGrant() {
        return open.size() < MAX_OPEN;
    }

    void recordGrant(CapGrant grant, long now) {
        open.add(grant);
        lastSent = Optional.of(grant);
        sentNanos = now;
    }

    /** Returns whether the last grant is to be repeated: no report has reflected it in time. */
    boolean isRepeatDue(long nanos, long now) {
        return lastSent.isPresent()
                && reflected < lastSent.get().sequence()
                && now - sentNanos >= nanos;
    }

    void recordRepeat(long now) {
        sentNanos = now;
    }
}
