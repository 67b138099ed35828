package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.PoolBalancer;
import org.crocusgrade.core.fleet.plan.PoolNeed;
import org.crocusgrade.core.fleet.plan.PoolSummary;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.Outcome;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.daemon.log.Event;

/** Evacuates and moves the hosts that the balancer selects, while the fleet duty is held. */
final class HostMover {
    /** How long a host may take to become empty before its move is abandoned. */
    private static final Duration EVACUATION_TIMEOUT = Duration.ofMillis(3500);

    /**
     * How long an order without an answer may still be carried out. Until then the host stays
     * evacuated, since its tasks would end with the move.
     */
    private static final Duration MAX_ORDER_DELAY = Duration.ofMillis(6000);

    /** How long at most a moved host counts as in transit. */
    private static final Duration ARRIVAL_TIMEOUT = Duration.ofMillis(6000);

    /** Minimum interval between two log lines on the same pool. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final BatchRuntime runtime;
    private final FleetAuthority authority;
    private final PoolBalancer balancer;
    private final Map<HostId, Transfer> leaving = new HashMap<>();
    private final Map<HostId, Transfer> arriving = new HashMap<>();
    private final Set<HostId> ordering = new HashSet<>();

    /** When the last order for a host failed without an answer, in nanoseconds. */
    private final Map<HostId, Long> unanswered = new HashMap<>();

    private Optional<Long> loggedNanos = Optional.empty();

    HostMover(BatchRuntime runtime, FleetAuthority authority, PoolBalancer balancer) {
        this.runtime = runtime;
        this.authority = authority;
        this.balancer = balancer;
    }

    void reset() {
        leaving.clear();
        arriving.clear();
        ordering.clear();
        unanswered.clear();
    }

    /** Counts the hosts that a former holder may have moved as on their way. */
    void restore(Map<HostId, ServiceId> moves) {
        long now = runtime.clock().nanoTime();
        moves.forEach((host, to) -> arriving.putIfAbsent(host, new Transfer(to, now)));
    }

    /** Forgets the moves of a former holder that were not carried out in time. */
    void drop(Set<HostId> moves) {
        arriving.keySet().removeAll(moves);
    }

    boolean hasOpenOrders() {
        return !ordering.isEmpty();
    }

    /**
     * Adds the hosts to evacuate and the orders to send. Hosts that are already in {@code evacuate}
     * are not moved, and a pool that now lacks hosts keeps those that were not ordered yet.
     */
    void decide(
            double now,
            Map<HostId, HostView> views,
            Map<ServiceId, PoolNeed> needs,
            Set<ServiceId> standbyPools,
            Set<HostId> evacuate,
            List<FleetAction> orders) {
        removeFinished(views, needs, evacuate);
        List<HostView> free = new ArrayList<>();
        for (HostView view : views.values()) {
            HostId host = view.host();
            boolean busy =
                    evacuate.contains(host)
                            || leaving.containsKey(host)
                            || arriving.containsKey(host);
            if (!busy) {
                free.add(view);
            }
        }
        Map<ServiceId, Integer> incoming = new HashMap<>();
        leaving.values().forEach(l -> incoming.merge(l.to, 1, Integer::sum));
        arriving.values().forEach(l -> incoming.merge(l.to, 1, Integer::sum));
        long nanos = runtime.clock().nanoTime();
        for (PoolBalancer.Move move : balancer.decide(now, free, needs, incoming, standbyPools)) {
            leaving.put(move.host(), new Transfer(move.to(), nanos));
        }
        logPools(nanos);
        for (Map.Entry<HostId, Transfer> entry : leaving.entrySet()) {
            HostView view = views.get(entry.getKey());
            if (!view.standby()) {
                evacuate.add(entry.getKey());
            }
            if (view.isEmpty() && !ordering.contains(entry.getKey())) {
                ServiceId to = entry.getValue().to;
                orders.add(FleetAction.move(view.host(), to, () -> move(view, to)));
            }
        }
    }

    private void logPools(long nanos) {
        if (loggedNanos.isPresent() && nanos - loggedNanos.get() < LOG_INTERVAL.toNanos()) {
            return;
        }
        loggedNanos = Optional.of(nanos);
        for (PoolSummary pool : balancer.summaries()) {
            runtime.log().log(
                    Event.POOL_HOSTS,
                    "pool",
                    pool.pool(),
                    "hosts",
                    pool.hosts(),
                    "empty",
                    pool.empty(),
                    "long-running",
                    pool.longRunning(),
                    "incoming",
                    pool.incoming(),
                    "target-cores",
                    Math.round(pool.target()),
                    "binds",
                    pool.memoryBound() ? "memory" : "cores",
                    "surging",
                    pool.surging(),
                    "lacking",
                    pool.lacking());
        }
    }

    private void removeFinished(
            Map<HostId, HostView> views, Map<ServiceId, PoolNeed> needs, Set<HostId> evacuate) {
        long now = runtime.clock().nanoTime();
        unanswered.values().removeIf(since -> now - since > MAX_ORDER_DELAY.toNanos());
        leaving.entrySet()
                .removeIf(
                        e -> {
                            HostView view = views.get(e.getKey());
                            if (view == null || view.state() != State.UP) {
                                return true;
                            }
                            long waited = now - e.getValue().sinceNanos;
                            PoolNeed need = needs.get(view.pool());
                            boolean isLacking = need != null && need.lackingHosts() > 0;
                            return !isOrderOpen(e.getKey())
                                    && (isLacking
                                            || evacuate.contains(e.getKey())
                                            || waited > EVACUATION_TIMEOUT.toNanos());
                        });
        arriving.entrySet()
                .removeIf(
                        e -> {
                            HostView view = views.get(e.getKey());
                            Transfer move = e.getValue();
                            boolean arrived =
                                    view != null
                                            && view.pool().equals(move.to)
                                            && view.state() == State.UP
                                            && (view.recentlyReported() || view.standby());
                            return arrived || now - move.sinceNanos > ARRIVAL_TIMEOUT.toNanos();
                        });
    }

    /** Returns whether an order for a host may still be carried out. */
    boolean isOrderOpen(HostId host) {
        return ordering.contains(host) || unanswered.containsKey(host);
    }

    private void move(HostView host, ServiceId to) {
        if (!leaving.containsKey(host.host()) || !ordering.add(host.host())) {
            return;
        }
        runtime.hosts()
                .move(host.host(), to, authority.authorizeOrder(host.host(), Optional.of(to)))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        o -> onMoved(host, to, o),
                        f -> {
                            ordering.remove(host.host());
                            unanswered.put(host.host(), runtime.clock().nanoTime());
                            logRefused(host.host(), to, "none: " + f.getMessage());
                        });
    }

    private void onMoved(HostView host, ServiceId to, Outcome outcome) {
        ordering.remove(host.host());
        if (outcome != Outcome.DONE && unanswered.containsKey(host.host())) {
            logRefused(host.host(), to, outcome.name());
            return;
        }
        leaving.remove(host.host());
        unanswered.remove(host.host());
        if (outcome != Outcome.DONE) {
            logRefused(host.host(), to, outcome.name());
            return;
        }
        arriving.put(host.host(), new Transfer(to, runtime.clock().nanoTime()));
        authority.refreshHostsSoon();
        runtime.log().log(Event.HOST_MOVED, "host", host.host(), "from", host.pool(), "to", to);
    }

    private void logRefused(HostId host, ServiceId to, String answer) {
        runtime.log().log(Event.HOST_REFUSED, "host", host, "to", to, "answer", answer);
    }

    private record Transfer(ServiceId to, long sinceNanos) {}
}
