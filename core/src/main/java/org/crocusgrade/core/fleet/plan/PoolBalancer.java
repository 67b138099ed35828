package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;

/**
 * Decides which hosts go to which pool.
 *
 * <p>Load: queues surge in turns, each asking for several times its pool for some seconds, while
 * the others need little. A pool should have what its long-running tasks take, and for the rest
 * what its tasks take and wait for; while it surges, as much as arrives and what works off the
 * backlog within a second or so, since all that has piled up is late; and before a surge that is
 * forecast, its height. Pools that lack hosts get them from the standby pool first, then from pools
 * with more than they need, emptiest hosts first; hosts with long-running tasks stay. What no pool
 * needs now or in the next surge goes to the standby pool after it has been idle for a while. A
 * move costs little against a second of waiting work, so nothing is weighed beyond whole hosts: a
 * pool must lack most of a host before one is sent. Worked case: 100 cores arrive, 150 core-seconds
 * have piled up, long-running tasks take 20: the pool should have 270 cores. Slow where a surge is
 * the first of its pool: nothing is sent before work waits.
 */
public final class PoolBalancer {
    /** The time to empty and move a host: a surge nearer than this is prepared for. */
    private static final double LEAD_SECONDS = 3.0;

    /** A surge that ends sooner than this is not worth another host. */
    private static final double ENDING_SECONDS = 1.0;

    /** The part of a host that a pool must lack before it gets one. */
    private static final double LACK_PART = 0.4;

    /** The time in which a surging pool should work off what has piled up, in seconds. */
    private static final double CATCH_UP_SECONDS = 1.0;

    /** What a quiet pool keeps free for what comes next, in hosts. */
    private static final double SPARE_HOSTS = 0.7;

    /** How long a host that came to a pool stays at least, in seconds. */
    private static final double DWELL_SECONDS = 1.0;

    /** The part of an even share of all hosts below which no host of a pool goes to standby. */
    private static final double KEPT_SHARE = 0.5;

    /** How long a host is idle before it goes to standby, in seconds. */
    private static final double PARK_SECONDS = 2.5;

    private final TurnForecast forecast;
    private final Map<HostId, ServiceId> seenIn = new HashMap<>();
    private final Map<HostId, Double> since = new HashMap<>();
    private final Map<HostId, Double> idleSince = new HashMap<>();

    /** Makes a balancer that asks a forecast. */
    public PoolBalancer(TurnForecast forecast) {
        this.forecast = forecast;
    }

    /**
     * Returns the hosts to move.
     *
     * @param now the time in seconds, on the forecast's scale
     * @param hosts the hosts, without those that a wave wants now
     * @param needs what the owners report; pools without a recent report are left as they are
     * @param incoming hosts on their way, by the pool they go to
     */
    public List<Move> decide(
            double now,
            List<HostView> hosts,
            Map<ServiceId, PoolNeed> needs,
            Map<ServiceId, Integer> incoming) {
        observe(now, hosts);
        Map<ServiceId, Double> spare = new HashMap<>();
        for (PoolNeed need : needs.values()) {
            spare.put(need.pool(), capacity(need.pool(), hosts, incoming) - target(need, now));
        }
        List<HostView> donors = donors(now, hosts, needs.keySet(), spare);
        Set<HostId> taken = new HashSet<>();
        List<Move> moves = new ArrayList<>();
        List<ServiceId> lacking = new ArrayList<>(spare.keySet());
        lacking.sort(Comparator.comparingDouble(spare::get));
        for (ServiceId pool : lacking) {
            fill(pool, donors, spare, taken, moves);
        }
        park(now, hosts, needs, spare, taken, moves);
        return List.copyOf(moves);
    }

    private void observe(double now, List<HostView> hosts) {
        for (HostView host : hosts) {
            ServiceId last = seenIn.put(host.host(), host.pool());
            if (last == null) {
                since.put(host.host(), now - DWELL_SECONDS);
            } else if (!last.equals(host.pool())) {
                since.put(host.host(), now);
            }
            if (host.known() && host.running() == 0) {
                idleSince.putIfAbsent(host.host(), now);
            } else {
                idleSince.remove(host.host());
            }
        }
    }

    /**
     * Returns the processors that a pool should have. What its tasks take and wait for says too
     * little while the pool surges: as much again arrives, and what has piled up is late already.
     */
    private double target(PoolNeed need, double now) {
        ServiceId pool = need.pool();
        double batch = need.batchCores();
        Optional<TurnForecast.Next> next = forecast.next(now);
        boolean soon =
                next.isPresent()
                        && next.get().pool().equals(pool)
                        && next.get().inSeconds() < LEAD_SECONDS;
        if (soon) {
            batch += forecast.peak(pool);
        } else if (forecast.isSurging(pool) && forecast.surgeLeft(pool, now) > ENDING_SECONDS) {
            batch = Math.max(batch, forecast.peak(pool) + need.backlog() / CATCH_UP_SECONDS);
        }
        return need.longRunningCores() + batch;
    }

    private static double capacity(
            ServiceId pool, List<HostView> hosts, Map<ServiceId, Integer> incoming) {
        double cores = 0;
        double largest = 0;
        for (HostView host : hosts) {
            if (host.pool().equals(pool) && host.state() == State.UP) {
                cores += cores(host);
            }
            largest = Math.max(largest, cores(host));
        }
        return cores + incoming.getOrDefault(pool, 0) * largest;
    }

    /** Returns the hosts that may leave their pools, the first to go first. */
    private List<HostView> donors(
            double now, List<HostView> hosts, Set<ServiceId> known, Map<ServiceId, Double> spare) {
        List<HostView> donors = new ArrayList<>();
        for (HostView host : hosts) {
            if (host.state() != State.UP) {
                continue;
            }
            boolean rested = now - since.getOrDefault(host.host(), now) >= DWELL_SECONDS;
            boolean owned = known.contains(host.pool()) && host.known() && rested;
            if (host.standby() || owned && host.longRunning() == 0) {
                donors.add(host);
            }
        }
        donors.sort(
                Comparator.comparing((HostView h) -> !h.standby())
                        .thenComparing(h -> h.running() > 0 ? 1 : 0)
                        .thenComparing(h -> -spare.getOrDefault(h.pool(), 0.0))
                        .thenComparing(HostView::running)
                        .thenComparing(HostView::host));
        return donors;
    }

    private void fill(
            ServiceId pool,
            List<HostView> donors,
            Map<ServiceId, Double> spare,
            Set<HostId> taken,
            List<Move> moves) {
        for (HostView host : donors) {
            double lack = -spare.get(pool);
            if (lack < LACK_PART * cores(host)) {
                return;
            }
            if (host.pool().equals(pool) || taken.contains(host.host())) {
                continue;
            }
            if (!host.standby()) {
                double left = spare.getOrDefault(host.pool(), 0.0) - cores(host);
                if (left < SPARE_HOSTS * cores(host)) {
                    continue;
                }
                spare.merge(host.pool(), -cores(host), Double::sum);
            }
            taken.add(host.host());
            spare.merge(pool, cores(host), Double::sum);
            moves.add(new Move(host.host(), pool));
        }
    }

    private void park(
            double now,
            List<HostView> hosts,
            Map<ServiceId, PoolNeed> needs,
            Map<ServiceId, Double> spare,
            Set<HostId> taken,
            List<Move> moves) {
        Optional<ServiceId> standby =
                hosts.stream().filter(HostView::standby).map(HostView::pool).findFirst();
        if (standby.isEmpty() || !moves.isEmpty()) {
            return;
        }
        double keep =
                forecast.next(now)
                        .map(n -> forecast.peak(n.pool()) - spareOf(n.pool(), spare))
                        .orElse(0.0);
        double kept = KEPT_SHARE * hosts.size() / Math.max(1, needs.size());
        Map<ServiceId, Integer> left = new HashMap<>();
        hosts.forEach(h -> left.merge(h.pool(), 1, Integer::sum));
        for (HostView host : hosts) {
            boolean idle =
                    host.state() == State.UP
                            && !host.standby()
                            && needs.containsKey(host.pool())
                            && !taken.contains(host.host())
                            && now - idleSince.getOrDefault(host.host(), now) > PARK_SECONDS;
            if (!idle || spareOf(host.pool(), spare) < (1 + SPARE_HOSTS) * cores(host)) {
                continue;
            }
            if (left.get(host.pool()) - 1 < kept) {
                continue;
            }
            if (keep > 0) {
                keep -= cores(host);
                continue;
            }
            spare.merge(host.pool(), -cores(host), Double::sum);
            left.merge(host.pool(), -1, Integer::sum);
            moves.add(new Move(host.host(), standby.get()));
        }
    }

    private static double spareOf(ServiceId pool, Map<ServiceId, Double> spare) {
        return spare.getOrDefault(pool, 0.0);
    }

    private static double cores(HostView host) {
        return host.milliCores() / 1000.0;
    }

    /** One host to move once it is empty. */
    public record Move(HostId host, ServiceId to) {}
}
