package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.daemon.batch.FleetDutyState.HostOrder;

/**
 * The latest orders of the former holder of the fleet duty: which may still be carried out, and
 * which hosts may not be ordered yet.
 *
 * <p>Load: a holder that has just moved half of the fleet into a pool that surges is lost, or the
 * daemons restart in turn and hand the duty on every second. While an order for a host may be on
 * its way, the host must stay empty, but those that have arrived are needed at once.
 *
 * <p>An order is over when the host list shows what it was to bring about: a host that was to move
 * is up in its new pool, and one that was to be maintained was seen in maintenance and is up again.
 * A later order for the same host would be the one in the record. Without such evidence an order
 * may be carried out until the order spacing has passed since it was sent. Until then the host gets
 * no order of this holder, whether that of the former one is over or not.
 */
final class FormerOrders {
    private final Duration spacing;
    private final Map<HostId, Entry> entries = new HashMap<>();

    /**
     * Creates an object without orders.
     *
     * @param spacing the time that must lie between the orders of two holders for one host
     */
    FormerOrders(Duration spacing) {
        this.spacing = spacing;
    }

    /**
     * Replaces the orders by those of a record.
     *
     * @param mayBeOpen whether any of them may still be carried out
     * @param acquiredNanos when the duty was taken over, on the monotonic clock
     */
    void restore(FleetDutyState state, boolean mayBeOpen, long acquiredNanos) {
        clear();
        state.orders()
                .forEach(
                        (host, order) -> {
                            long until = acquiredNanos + spacing.minus(order.age()).toNanos();
                            entries.put(host, new Entry(order.to(), until, mayBeOpen));
                        });
    }

    void clear() {
        entries.clear();
    }

    /** Updates the orders from a host list that was requested after the takeover. */
    void onHosts(Collection<PooledHost> hosts) {
        for (PooledHost host : hosts) {
            Entry entry = entries.get(host.host());
            if (entry != null && entry.open) {
                entry.observe(host);
            }
        }
    }

    /**
     * Removes the orders whose spacing has passed; returns the hosts of those that were not seen to
     * be over.
     */
    Set<HostId> removeExpired(long now) {
        Set<HostId> open = new HashSet<>();
        entries.entrySet()
                .removeIf(
                        e -> {
                            boolean expired = now - e.getValue().untilNanos > 0;
                            if (expired && e.getValue().open) {
                                open.add(e.getKey());
                            }
                            return expired;
                        });
        return open;
    }

    /** Returns the hosts for which an order may still be carried out. */
    Set<HostId> open() {
        Set<HostId> hosts = new HashSet<>(entries.keySet());
        hosts.removeIf(h -> !isOpen(h));
        return hosts;
    }

    /** Returns whether a host may be ordered, as far as orders of the former holder matter. */
    boolean mayOrder(HostId host, long now) {
        Entry entry = entries.get(host);
        return entry == null || now - entry.untilNanos > 0;
    }

    /** Returns whether an order may still move a host or begin its maintenance. */
    boolean isOpen(HostId host) {
        Entry entry = entries.get(host);
        return entry != null && entry.open;
    }

    /** Returns the hosts that may be on their way to a pool, and that pool. */
    Map<HostId, ServiceId> moves() {
        Map<HostId, ServiceId> moves = new HashMap<>();
        entries.forEach(
                (host, entry) -> {
                    if (entry.open) {
                        entry.to.ifPresent(pool -> moves.put(host, pool));
                    }
                });
        return moves;
    }

    /** Returns the orders for the next record. */
    Map<HostId, HostOrder> recorded(long now) {
        Map<HostId, HostOrder> recorded = new HashMap<>();
        entries.forEach(
                (host, entry) -> {
                    Duration age = spacing.minusNanos(entry.untilNanos - now);
                    recorded.put(host, new HostOrder(entry.to, age));
                });
        return recorded;
    }

    private static final class Entry {
        private final Optional<ServiceId> to;
        private final long untilNanos;
        private boolean open;
        private boolean begun;

        Entry(Optional<ServiceId> to, long untilNanos, boolean open) {
            this.to = to;
            this.untilNanos = untilNanos;
            this.open = open;
        }

        void observe(PooledHost host) {
            begun |= host.state() == State.MAINTENANCE;
            boolean carriedOut = to.map(host.pool()::equals).orElse(begun);
            open = !(carriedOut && host.state() == State.UP);
        }
    }
}
