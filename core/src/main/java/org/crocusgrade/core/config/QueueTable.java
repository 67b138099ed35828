package org.crocusgrade.core.config;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;

/**
 * An immutable version of the operators' configuration of queues and pools.
 *
 * @param version increases with each change, not necessarily by one; 0 before any configuration is
 *     known
 * @param queues the queues
 * @param pools the pools, by service
 * @param customers the customers on whose behalf callers submit work
 */
public record QueueTable(
        long version,
        List<QueueRoute> queues,
        Map<ServiceId, PoolPolicy> pools,
        CustomerDirectory customers) {
    /** The table used until a configuration is known. */
    public static final QueueTable EMPTY =
            new QueueTable(0, List.of(), Map.of(), CustomerDirectory.NONE);

    /** Copies the collections. */
    public QueueTable {
        Objects.requireNonNull(customers);
        queues = List.copyOf(queues);
        pools = Map.copyOf(new LinkedHashMap<>(pools));
    }

    /** Returns whether a configuration is known. */
    public boolean isKnown() {
        return version > 0;
    }

    /**
     * Returns the queue that a call is routed to: of those that match, the one with the longest
     * path prefix.
     */
    public Optional<QueueRoute> route(String host, String path) {
        QueueRoute best = null;
        for (QueueRoute queue : queues) {
            boolean longer = best == null || queue.prefix().length() > best.prefix().length();
            if (longer && queue.matches(host, path)) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the services whose pools are switched off. */
    public Set<ServiceId> standbyPools() {
        Set<ServiceId> standby = new HashSet<>();
        for (PoolPolicy pool : pools.values()) {
            if (pool.standby()) {
                standby.add(pool.service());
            }
        }
        return standby;
    }

    /** Returns a queue by its name. */
    public Optional<QueueRoute> queue(QueueId queue) {
        return queues.stream().filter(q -> q.queue().equals(queue)).findFirst();
    }
}
