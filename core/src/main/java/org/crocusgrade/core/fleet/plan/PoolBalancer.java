package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
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
 * <p>Idea: each pool has a target in cores, or in the cores of hosts with enough memory if that is
 * more. It is what its long-running tasks use plus what its other tasks use and wait for. While the
 * pool surges, it is instead what arrives plus what clears the late work within a time. The backlog
 * of a pool that has enough hosts is the rate of arrival times the time in the system (Little's
 * law), so only the part that waits for hosts is late. Shortly before a forecast surge, the demand
 * of that surge is added.
 *
 * <p>The sums do not show a task that no host of the pool has room for, because of a limit per
 * worker or since each host has some memory left, but none enough. The owner reports how many hosts
 * such tasks need. The pool gets them before all others, since such a task would wait however long
 * the surges of others last, and gives none meanwhile.
 *
 * <p>Pools below their target get hosts from the standby pool first, then from pools above their
 * target, idle hosts first; hosts with long-running tasks stay. What arrives comes before late work
 * of other pools: that is late already. Late work takes no hosts that a pool keeps for work that
 * nobody forecasts. Hosts that no pool needs now go to the standby pool, which costs nothing, as
 * soon as they have been idle for a moment; the next surge takes them from there. A move costs
 * little compared to a second of waiting work, so costs are not weighed: a pool gets another host
 * as soon as it lacks the fraction {@code MIN_LACK_HOSTS} of one.
 *
 * <p>Before a pool's first surge nobody knows how large it will be, and the work that has arrived
 * shows it only after seconds. So as soon as a surge is evident, it is presumed to need {@code
 * PRESUMED_PEAK_FACTOR} times the hosts that the pool had at first, and until its demand has been
 * measured, all of the backlog counts as late.
 *
 * <p>Worked case: in a surge 100 cores of work arrive, 20 core-seconds wait for hosts, long-running
 * tasks use 20 cores, and late work is cleared in 1 s with a headroom of 30%: the target is 170
 * cores.
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

    /**
     * Surplus that a pool keeps when it gives a host away, for work that arrives next, in hosts.
     */
    static final double RESERVE_HOSTS = 0.7;

    /** Minimum time that a host stays in a pool after a move. */
    private static final double DWELL_SECONDS = 1.0;

    /**
     * The demand that a pool's first surge is presumed to have, as a multiple of the hosts that the
     * pool has at first. Operators give a pool what it needs on average; in its turn a queue asks
     * for several times its mean.
     */
    private static final double PRESUMED_PEAK_FACTOR = 1.8;

    private final SurgeSequenceForecast forecast;
    private final Rules rules;
    private final Map<HostId, ServiceId> lastPools = new HashMap<>();
    private final Map<HostId, Double> inPoolSince = new HashMap<>();
    private final Map<HostId, Double> idleSince = new HashMap<>();
    private List<HostView> lastHosts = List.of();
    private Map<ServiceId, PoolNeed> lastNeeds = Map.of();
    private Map<ServiceId, Integer> lastIncoming = Map.of();
    private Map<ServiceId, Double> lastTargets = Map.of();

    /** Creates a balancer that reads the given forecast. */
    public PoolBalancer(SurgeSequenceForecast forecast) {
        this(forecast, Rules.DEFAULT);
    }

    PoolBalancer(SurgeSequenceForecast forecast, Rules rules) {
        this.forecast = forecast;
        this.rules = rules;
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
        double standbyCores = standbyCores(hosts);
        Map<ServiceId, Double> surplus = new HashMap<>();
        Map<ServiceId, Double> expected = new HashMap<>();
        Map<ServiceId, Double> catchUp = new HashMap<>();
        Map<ServiceId, Double> targets = new HashMap<>();
        for (PoolNeed need : needs.values()) {
            ServiceId pool = need.pool();
            double capacity = capacity(pool, hosts, incoming);
            double most = most(need, hosts, needs.values(), incoming);
            double target = Math.min(most, target(need, now));
            double soon = expected(need, target, capacity, standbyCores, now);
            surplus.put(pool, capacity - target);
            expected.put(pool, Math.min(most - target, soon));
            catchUp.put(pool, Math.min(most - target - expected.get(pool), catchUp(need, now)));
            targets.put(pool, target + expected.get(pool) + catchUp.get(pool));
        }
        Set<ServiceId> givers = new HashSet<>(needs.keySet());
        givers.removeIf(p -> needs.get(p).lackingHosts() > 0);
        lastHosts = hosts;
        lastNeeds = needs;
        lastIncoming = incoming;
        lastTargets = targets;
        Map<ServiceId, Integer> spareHosts = spareHosts(now, hosts, needs.keySet(), incoming);
        HostAssignment assignment = new HostAssignment(surplus, spareHosts, expected);
        assignment.fillLacking(lacking(needs, incoming), donors(now, hosts, givers, surplus));
        assignment.fill(donors(now, hosts, givers, surplus), false);
        assignment.addExpected();
        assignment.fill(donors(now, hosts, givers, surplus), false);
        catchUp.forEach((pool, c) -> surplus.merge(pool, -c, Double::sum));
        assignment.fill(donors(now, hosts, givers, surplus), true);
        standbyPools.stream()
                .min(Comparator.naturalOrder())
                .ifPresent(p -> moveIdleToStandby(now, p, hosts, givers, assignment));
        return assignment.moves();
    }

    /** Returns what the latest decision was based on, for each pool that reports. */
    public List<PoolSummary> summaries() {
        List<PoolSummary> all = new ArrayList<>();
        for (PoolNeed need : lastNeeds.values()) {
            ServiceId pool = need.pool();
            all.add(
                    PoolSummary.of(
                            need,
                            lastHosts,
                            lastIncoming.getOrDefault(pool, 0),
                            lastTargets.get(pool),
                            forecast.isSurging(pool)));
        }
        return all;
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
     * Returns the most cores that a pool can have: those of the fleet but what the long-running
     * tasks of other pools use.
     */
    private static double most(
            PoolNeed need,
            List<HostView> hosts,
            Collection<PoolNeed> all,
            Map<ServiceId, Integer> incoming) {
        double cores = hosts.stream().mapToDouble(PoolBalancer::cores).sum();
        int moving = incoming.values().stream().mapToInt(Integer::intValue).sum();
        cores += moving * largestCores(hosts);
        for (PoolNeed other : all) {
            cores -= other.pool().equals(need.pool()) ? 0 : other.hostCores(0);
        }
        return Math.max(0, cores);
    }

    /**
     * Returns the cores that a pool should have now, without those that clear its late work. During
     * a surge, the cores that its tasks use and wait for are no guide: as much work again arrives.
     */
    private double target(PoolNeed need, double now) {
        double surge = surgeCores(need.pool());
        double batch = need.batchCores() - need.waitingCores();
        return need.hostCores(surgesOn(need.pool(), now) ? surge : batch);
    }

    /** Returns the cores that a pool should have above its target for a forecast surge. */
    private double expected(
            PoolNeed need, double target, double capacity, double standbyCores, double now) {
        ServiceId pool = need.pool();
        Optional<SurgeSequenceForecast.Next> next =
                forecast.next(now).filter(n -> n.pool().equals(pool));
        if (next.isEmpty() || next.get().inSeconds() >= LEAD_SECONDS) {
            return 0;
        }
        double surge = surgeCores(pool);
        double soon = need.hostCores(need.batchCores() - need.waitingCores() + surge);
        boolean isOnStandby = soon - capacity <= standbyCores;
        boolean isTime = !isOnStandby || next.get().inSeconds() < rules.standbyLead();
        return isTime ? Math.max(0, soon - target) : 0;
    }

    /**
     * Returns the cores that a pool needs above its target to clear its late work, or, while it
     * does not surge, for its waiting tasks: a single submission of thousands of tasks is to take
     * no hosts from what arrives in a pool that surges.
     */
    private double catchUp(PoolNeed need, double now) {
        ServiceId pool = need.pool();
        if (!surgesOn(pool, now)) {
            double running = need.batchCores() - need.waitingCores();
            return need.hostCores(need.batchCores()) - need.hostCores(running);
        }
        boolean measured = forecast.isPeakMeasured(pool, now);
        double late = measured ? rules.lateWork().applyAsDouble(need) : need.backlog();
        double running = need.batchCores() - need.waitingCores();
        double surge = surgeCores(pool);
        double cores = Math.max(running - surge, late / rules.catchUp());
        return need.hostCores(surge + cores) - need.hostCores(surge);
    }

    /** Returns the cores for the work that arrives in a surge of a pool, with headroom. */
    private double surgeCores(ServiceId pool) {
        return forecast.surgeRate(pool) * rules.headroom();
    }

    private boolean surgesOn(ServiceId pool, double now) {
        return forecast.isSurging(pool)
                && (forecast.surgeLeft(pool, now) > MIN_SURGE_LEFT_SECONDS
                        || forecast.isOverrun(pool, now));
    }

    private static double standbyCores(List<HostView> hosts) {
        return hosts.stream()
                .filter(h -> h.standby() && h.state() == State.UP)
                .mapToDouble(PoolBalancer::cores)
                .sum();
    }

    private static double capacity(
            ServiceId pool, List<HostView> hosts, Map<ServiceId, Integer> incoming) {
        double cores = 0;
        for (HostView host : hosts) {
            if (host.pool().equals(pool) && host.state() == State.UP) {
                cores += cores(host);
            }
        }
        return cores + incoming.getOrDefault(pool, 0) * largestCores(hosts);
    }

    /** Returns the hosts that the pools lack beside those on their way. */
    private static Map<ServiceId, Integer> lacking(
            Map<ServiceId, PoolNeed> needs, Map<ServiceId, Integer> incoming) {
        Map<ServiceId, Integer> lacking = new TreeMap<>();
        for (PoolNeed need : needs.values()) {
            int hosts = need.lackingHosts() - incoming.getOrDefault(need.pool(), 0);
            if (hosts > 0) {
                lacking.put(need.pool(), hosts);
            }
        }
        return lacking;
    }

    private static double largestCores(List<HostView> hosts) {
        return hosts.stream().mapToDouble(PoolBalancer::cores).max().orElse(0);
    }

    /** Returns the hosts that may leave their pools, in the order in which to take them. */
    private List<HostView> donors(
            double now,
            List<HostView> hosts,
            Set<ServiceId> reporting,
            Map<ServiceId, Double> surplus) {
        List<HostView> donors = new ArrayList<>();
        for (HostView host : hosts) {
            if (host.state() != State.UP || !host.orderable()) {
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

    /**
     * Moves hosts to standby that no pool needs now, unless some pool lacks hosts. Those that the
     * next surge needs and that standby cannot supply stay: it takes them from where they are.
     */
    private void moveIdleToStandby(
            double now,
            ServiceId standby,
            List<HostView> hosts,
            Set<ServiceId> givers,
            HostAssignment assignment) {
        if (!assignment.moves().isEmpty()) {
            return;
        }
        double reservedCores =
                forecast.next(now)
                        .map(n -> forecast.peak(n.pool()) - assignment.surplus(n.pool()))
                        .orElse(0.0);
        reservedCores -= standbyCores(hosts);
        for (HostView host : hosts) {
            ServiceId pool = host.pool();
            boolean idle =
                    host.state() == State.UP
                            && host.orderable()
                            && !host.standby()
                            && givers.contains(pool)
                            && !assignment.isTaken(host.host())
                            && now - idleSince.getOrDefault(host.host(), now) > rules.idleSeconds();
            if (!idle || assignment.surplus(pool) < (1 + RESERVE_HOSTS) * cores(host)) {
                continue;
            }
            if (!assignment.hasSpareHost(pool)) {
                continue;
            }
            if (reservedCores > 0) {
                reservedCores -= cores(host);
                continue;
            }
            assignment.giveBack(host, standby);
        }
    }

    /**
     * Returns how many hosts each pool has above the number that it keeps for work that nobody
     * forecasts.
     */
    private Map<ServiceId, Integer> spareHosts(
            double now,
            List<HostView> hosts,
            Set<ServiceId> reporting,
            Map<ServiceId, Integer> incoming) {
        int moving = incoming.values().stream().mapToInt(Integer::intValue).sum();
        double evenShare = (double) (hosts.size() + moving) / Math.max(1, reporting.size());
        Map<ServiceId, Integer> spare = new HashMap<>();
        hosts.forEach(h -> spare.merge(h.pool(), 1, Integer::sum));
        spare.replaceAll(
                (pool, count) -> {
                    double share =
                            forecast.isPeakMeasured(pool, now)
                                    ? rules.minEvenShare()
                                    : rules.unknownEvenShare();
                    return count - (int) Math.ceil(share * evenShare);
                });
        return spare;
    }

    static double cores(HostView host) {
        return host.milliCores() / 1000.0;
    }

    /** A host to move as soon as it is empty, and its destination. */
    public record Move(HostId host, ServiceId to) {}

    /**
     * The rules that tests compare with others.
     *
     * @param lateWork the part of a surging pool's backlog that is late
     * @param catchUp time in which a surging pool is to clear its late work, in seconds
     * @param headroom factor on the demand of a surge: arrivals vary, and a pool without slack lets
     *     each burst wait
     * @param standbyLead how long before a forecast surge hosts leave standby, in seconds; they
     *     have nothing to drain
     * @param minEvenShare fraction of an even share of all hosts that a pool keeps
     * @param unknownEvenShare the same before the pool's first surge, which nobody can forecast
     * @param idleSeconds time that a host must be idle before it goes to standby
     */
    record Rules(
            ToDoubleFunction<PoolNeed> lateWork,
            double catchUp,
            double headroom,
            double standbyLead,
            double minEvenShare,
            double unknownEvenShare,
            double idleSeconds) {
        static final Rules DEFAULT = new Rules(PoolNeed::waitingWork, 1.0, 1.3, 2.5, 0.1, 0.5, 1.0);
    }
}
