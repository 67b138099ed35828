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
 * Decides which hosts to move to which pool.
 *
 * <p>Load: pools surge in turns: for some seconds one of them needs several times its own hosts
 * while the others need little.
 *
 * <p>Idea: each pool has a target in cores. It is what its long-running tasks use plus what its
 * other tasks use and wait for. While the pool surges, it is raised to what arrives plus what
 * clears the backlog within {@code CATCH_UP_SECONDS}, since all work that has piled up is late.
 * Shortly before a forecast surge, the peak of that surge is added.
 *
 * <p>Pools below their target get hosts from the standby pool first, then from pools above their
 * target, idle hosts first; hosts with long-running tasks stay. Hosts that no pool needs now or in
 * the next surge go to the standby pool after they have been idle for {@code STANDBY_IDLE_SECONDS}.
 * A move costs little compared to a second of waiting work, so costs are not weighed: a pool gets
 * another host as soon as it lacks the fraction {@code MIN_LACK_HOSTS} of one.
 *
 * <p>Before a pool's first surge nobody knows how large it will be, and the work that has arrived
 * shows it only after seconds. So as soon as a surge is evident, it is presumed to need {@code
 * PRESUMED_PEAK_FACTOR} times the hosts that the pool had at first.
 *
 * <p>Worked case: in a surge 100 cores of work arrive, the backlog is 150 core-seconds, and
 * long-running tasks use 20 cores: the target is 270 cores.
 */
public final class PoolBalancer {
    /**
     * Time to drain and move a host: hosts are sent for a surge that is forecast within this time.
     */
    private static final double LEAD_SECONDS = 3.0;

    /**
     * Minimum remaining time of a surge for which the target is raised: a shorter one is not worth
     * another host.
     */
    private static final double MIN_SURGE_LEFT_SECONDS = 1.0;

    /** Minimum lack of a pool for which it gets another host, in hosts. */
    private static final double MIN_LACK_HOSTS = 0.4;

    /** Time in which a surging pool is to clear its backlog. */
    private static final double CATCH_UP_SECONDS = 1.0;

    /**
     * Surplus that a pool keeps when it gives a host away, for work that arrives next, in hosts.
     */
    private static final double RESERVE_HOSTS = 0.7;

    /** Minimum time that a host stays in a pool after a move. */
    private static final double DWELL_SECONDS = 1.0;

    /**
     * Fraction of an even share of all hosts that a pool keeps: below it, no host of the pool goes
     * to standby.
     */
    private static final double MIN_EVEN_SHARE = 0.5;

    /**
     * The demand that a pool's first surge is presumed to have, as a multiple of the hosts that the
     * pool has at first. Operators give a pool what it needs on average; in its turn a queue asks
     * for several times its mean.
     */
    private static final double PRESUMED_PEAK_FACTOR = 1.8;

    /** Time that a host must be idle before it goes to standby. */
    private static final double STANDBY_IDLE_SECONDS = 2.5;

    private final SurgeSequenceForecast forecast;
    private final Map<HostId, ServiceId> lastPools = new HashMap<>();
    private final Map<HostId, Double> inPoolSince = new HashMap<>();
    private final Map<HostId, Double> idleSince = new HashMap<>();

    /** Creates a balancer that reads the given forecast. */
    public PoolBalancer(SurgeSequenceForecast forecast) {
        this.forecast = forecast;
    }

    /**
     * Returns the hosts to move.
     *
     * @param now the time in seconds, on the forecast's scale
     * @param hosts the hosts, without those that a maintenance wave needs now
     * @param needs the demand that the owners of the pools report; a pool without a recent report
     *     neither gives nor receives hosts, unless it is a standby pool, which gives them without a
     *     report
     * @param incoming the number of hosts that are moving, by destination pool
     * @param standbyPools the pools that are switched off, also those without hosts
     */
    public List<Move> decide(
            double now,
            List<HostView> hosts,
            Map<ServiceId, PoolNeed> needs,
            Map<ServiceId, Integer> incoming,
            Set<ServiceId> standbyPools) {
        observe(now, hosts);
        Map<ServiceId, Double> surplus = new HashMap<>();
        for (PoolNeed need : needs.values()) {
            surplus.put(need.pool(), capacity(need.pool(), hosts, incoming) - target(need, now));
        }
        List<HostView> donors = donors(now, hosts, needs.keySet(), surplus);
        Set<HostId> taken = new HashSet<>();
        List<Move> moves = new ArrayList<>();
        List<ServiceId> lacking = new ArrayList<>(surplus.keySet());
        lacking.sort(Comparator.comparingDouble(surplus::get));
        for (ServiceId pool : lacking) {
            assignHosts(pool, donors, surplus, taken, moves);
        }
        standbyPools.stream()
                .min(Comparator.naturalOrder())
                .ifPresent(p -> moveIdleToStandby(now, p, hosts, needs, surplus, taken, moves));
        return List.copyOf(moves);
    }

    private void observe(double now, List<HostView> hosts) {
        if (lastPools.isEmpty()) {
            presumePeaks(hosts);
        }
        for (HostView host : hosts) {
            ServiceId last = lastPools.put(host.host(), host.pool());
            if (last == null) {
                inPoolSince.put(host.host(), now - DWELL_SECONDS);
            } else if (!last.equals(host.pool())) {
                inPoolSince.put(host.host(), now);
            }
            if (host.recentlyReported() && host.running() == 0) {
                idleSince.putIfAbsent(host.host(), now);
            } else {
                idleSince.remove(host.host());
            }
        }
    }

    private void presumePeaks(List<HostView> hosts) {
        Map<ServiceId, Double> cores = new HashMap<>();
        for (HostView host : hosts) {
            if (!host.standby()) {
                cores.merge(host.pool(), cores(host), Double::sum);
            }
        }
        cores.forEach((pool, c) -> forecast.presumePeak(pool, c * PRESUMED_PEAK_FACTOR));
    }

    /**
     * Returns the cores that a pool should have. During a surge, the cores that its tasks use and
     * wait for are too low a target: as much work again arrives, and the backlog is already late.
     */
    private double target(PoolNeed need, double now) {
        ServiceId pool = need.pool();
        double batch = need.batchCores();
        Optional<SurgeSequenceForecast.Next> next = forecast.next(now);
        boolean soon =
                next.isPresent()
                        && next.get().pool().equals(pool)
                        && next.get().inSeconds() < LEAD_SECONDS;
        if (soon) {
            batch += forecast.peak(pool);
        } else if (forecast.isSurging(pool)
                && forecast.surgeLeft(pool, now) > MIN_SURGE_LEFT_SECONDS) {
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

    /** Returns the hosts that may leave their pools, in the order in which to take them. */
    private List<HostView> donors(
            double now,
            List<HostView> hosts,
            Set<ServiceId> reporting,
            Map<ServiceId, Double> surplus) {
        List<HostView> donors = new ArrayList<>();
        for (HostView host : hosts) {
            if (host.state() != State.UP) {
                continue;
            }
            boolean dwelled = now - inPoolSince.getOrDefault(host.host(), now) >= DWELL_SECONDS;
            boolean mayGive = reporting.contains(host.pool()) && host.recentlyReported() && dwelled;
            if (host.standby() || mayGive && host.longRunning() == 0) {
                donors.add(host);
            }
        }
        donors.sort(
                Comparator.comparing((HostView h) -> !h.standby())
                        .thenComparing(h -> h.running() > 0 ? 1 : 0)
                        .thenComparing(h -> -surplus.getOrDefault(h.pool(), 0.0))
                        .thenComparing(HostView::running)
                        .thenComparing(HostView::host));
        return donors;
    }

    private void assignHosts(
            ServiceId pool,
            List<HostView> donors,
            Map<ServiceId, Double> surplus,
            Set<HostId> taken,
            List<Move> moves) {
        for (HostView host : donors) {
            double lack = -surplus.get(pool);
            if (lack < MIN_LACK_HOSTS * cores(host)) {
                return;
            }
            if (host.pool().equals(pool) || taken.contains(host.host())) {
                continue;
            }
            if (!host.standby()) {
                double surplusLeft = surplus.getOrDefault(host.pool(), 0.0) - cores(host);
                if (surplusLeft < RESERVE_HOSTS * cores(host)) {
                    continue;
                }
                surplus.merge(host.pool(), -cores(host), Double::sum);
            }
            taken.add(host.host());
            surplus.merge(pool, cores(host), Double::sum);
            moves.add(new Move(host.host(), pool));
        }
    }

    /**
     * Moves hosts to standby that no pool needs now or in the next surge. If a surge has used up
     * the hosts on standby, idle ones stay where they are until it has ended: the next surge takes
     * them from there.
     */
    private void moveIdleToStandby(
            double now,
            ServiceId standby,
            List<HostView> hosts,
            Map<ServiceId, PoolNeed> needs,
            Map<ServiceId, Double> surplus,
            Set<HostId> taken,
            List<Move> moves) {
        boolean surging = needs.keySet().stream().anyMatch(forecast::isSurging);
        if (!moves.isEmpty() || surging && hosts.stream().noneMatch(HostView::standby)) {
            return;
        }
        double reservedCores =
                forecast.next(now)
                        .map(n -> forecast.peak(n.pool()) - surplusOf(n.pool(), surplus))
                        .orElse(0.0);
        double minHosts = MIN_EVEN_SHARE * hosts.size() / Math.max(1, needs.size());
        Map<ServiceId, Integer> hostsLeft = new HashMap<>();
        hosts.forEach(h -> hostsLeft.merge(h.pool(), 1, Integer::sum));
        for (HostView host : hosts) {
            boolean idle =
                    host.state() == State.UP
                            && !host.standby()
                            && needs.containsKey(host.pool())
                            && !taken.contains(host.host())
                            && now - idleSince.getOrDefault(host.host(), now)
                                    > STANDBY_IDLE_SECONDS;
            if (!idle || surplusOf(host.pool(), surplus) < (1 + RESERVE_HOSTS) * cores(host)) {
                continue;
            }
            if (hostsLeft.get(host.pool()) - 1 < minHosts) {
                continue;
            }
            if (reservedCores > 0) {
                reservedCores -= cores(host);
                continue;
            }
            surplus.merge(host.pool(), -cores(host), Double::sum);
            hostsLeft.merge(host.pool(), -1, Integer::sum);
            moves.add(new Move(host.host(), standby));
        }
    }

    private static double surplusOf(ServiceId pool, Map<ServiceId, Double> surplus) {
        return surplus.getOrDefault(pool, 0.0);
    }

    private static double cores(HostView host) {
        return host.milliCores() / 1000.0;
    }

    /** A host to move as soon as it is empty, and its destination. */
    public record Move(HostId host, ServiceId to) {}
}
