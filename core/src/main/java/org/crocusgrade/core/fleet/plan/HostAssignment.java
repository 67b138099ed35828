package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.PoolBalancer.Move;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;

/** The moves of one decision, and what they leave to the pools. */
final class HostAssignment {
    /** Minimum lack of a pool for which it gets another host, in hosts. */
    private static final double MIN_LACK_HOSTS = 0.4;

    private final Map<ServiceId, Double> surplus;
    private final Map<ServiceId, Integer> spareHosts;
    private final Map<ServiceId, Double> expected;
    private final Set<HostId> taken = new HashSet<>();
    private final List<Move> moves = new ArrayList<>();

    /**
     * Creates an assignment without moves.
     *
     * @param surplus the cores that each pool has above what it needs now
     * @param spareHosts the hosts that each pool has above those it keeps
     * @param expected the cores that each pool needs soon; it does not give them away, but gets
     *     them only after what others need now
     */
    HostAssignment(
            Map<ServiceId, Double> surplus,
            Map<ServiceId, Integer> spareHosts,
            Map<ServiceId, Double> expected) {
        this.surplus = surplus;
        this.spareHosts = spareHosts;
        this.expected = new HashMap<>(expected);
    }

    /** Counts what pools need soon as needed now. */
    void addExpected() {
        expected.forEach((pool, cores) -> surplus.merge(pool, -cores, Double::sum));
        expected.clear();
    }

    /**
     * Gives hosts to the pools that have no room for some task.
     *
     * @param lacking the number of hosts that each such pool lacks
     */
    void fillLacking(Map<ServiceId, Integer> lacking, List<HostView> donors) {
        lacking.forEach(
                (pool, hosts) -> {
                    int left = hosts;
                    for (HostView host : donors) {
                        if (left == 0) {
                            return;
                        }
                        left -= give(host, pool, false) ? 1 : 0;
                    }
                });
    }

    /** Gives hosts to the pools that lack cores, the one that lacks most first. */
    void fill(List<HostView> donors, boolean onlySpare) {
        List<ServiceId> pools = new ArrayList<>(surplus.keySet());
        pools.sort(Comparator.comparingDouble(surplus::get));
        pools.forEach(p -> fill(p, donors, onlySpare));
    }

    private void fill(ServiceId pool, List<HostView> donors, boolean onlySpare) {
        for (HostView host : donors) {
            double cores = PoolBalancer.cores(host);
            if (-surplus.get(pool) < MIN_LACK_HOSTS * cores) {
                return;
            }
            give(host, pool, onlySpare);
        }
    }

    /** Moves a host if its pool can do without it; returns whether it did. */
    private boolean give(HostView host, ServiceId to, boolean onlySpare) {
        if (host.pool().equals(to) || taken.contains(host.host())) {
            return false;
        }
        double cores = PoolBalancer.cores(host);
        if (!host.standby()) {
            double soon = expected.getOrDefault(host.pool(), 0.0);
            double surplusLeft = surplus(host.pool()) - soon - cores;
            boolean spare = hasSpareHost(host.pool());
            if (surplusLeft < PoolBalancer.RESERVE_HOSTS * cores || onlySpare && !spare) {
                return false;
            }
            spareHosts.merge(host.pool(), -1, Integer::sum);
            surplus.merge(host.pool(), -cores, Double::sum);
        }
        taken.add(host.host());
        surplus.merge(to, cores, Double::sum);
        moves.add(new Move(host.host(), to));
        return true;
    }

    /** Moves a host that its pool does not need to standby. */
    void giveBack(HostView host, ServiceId standby) {
        surplus.merge(host.pool(), -PoolBalancer.cores(host), Double::sum);
        spareHosts.merge(host.pool(), -1, Integer::sum);
        moves.add(new Move(host.host(), standby));
    }

    boolean isTaken(HostId host) {
        return taken.contains(host);
    }

    boolean hasSpareHost(ServiceId pool) {
        return spareHosts.getOrDefault(pool, 0) > 0;
    }

    double surplus(ServiceId pool) {
        return surplus.getOrDefault(pool, 0.0);
    }

    List<Move> moves() {
        return List.copyOf(moves);
    }
}
