package org.crocusgrade.core.maintenance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.MaintenanceView.Host;
import org.crocusgrade.core.maintenance.MaintenanceView.Pool;

/**
 * Tracks, during one planning step, what the budget of each pool still allows. Every host that does
 * not serve uses up budget, regardless of the cause. So does a host of the wave that is draining or
 * rebooting, even if it is still observed as serving. A host that is back in service and being
 * observed ({@link HostProgress.Phase#WATCHED}) uses up none as long as it serves.
 */
final class PoolBudgets {
    private final Map<PoolId, Integer> unavailable = new HashMap<>();
    private final Map<PoolId, Integer> serving = new HashMap<>();
    private final Map<PoolId, Set<String>> zones = new HashMap<>();
    private final Map<PoolId, MaintenanceReason> holds = new TreeMap<>();

    PoolBudgets(MaintenanceView view, Map<WorkerId, HostProgress> hosts) {
        for (Host h : view.hosts()) {
            HostProgress progress = hosts.get(h.worker());
            boolean inProgress =
                    progress != null
                            && progress.phase().active
                            && progress.phase() != HostProgress.Phase.WATCHED;
            if (inProgress) {
                zones.computeIfAbsent(h.pool(), p -> new TreeSet<>()).add(h.zone().value());
            }
            if (inProgress || !h.serves()) {
                unavailable.merge(h.pool(), 1, Integer::sum);
            } else {
                serving.merge(h.pool(), 1, Integer::sum);
            }
        }
    }

    /**
     * Returns why the maintenance of a host may not start now; empty if it may. A host that is in
     * the maintenance state already may always be started, since that makes no further host
     * unavailable.
     */
    Optional<MaintenanceReason> holdReason(Host host, Pool pool) {
        if (host.state() == WorkerState.MAINTENANCE) {
            return Optional.empty();
        }
        if (!host.serves()) {
            return Optional.of(MaintenanceReason.BUDGET);
        }
        if (pool.surging() && pool.maintenance().yieldToSurge()) {
            return Optional.of(MaintenanceReason.SURGE);
        }
        if (unavailable.getOrDefault(pool.pool(), 0) >= pool.budget().maxUnavailable()) {
            return Optional.of(MaintenanceReason.BUDGET);
        }
        if (serving.getOrDefault(pool.pool(), 0) <= pool.minWorkers()) {
            return Optional.of(MaintenanceReason.LEAST_NUMBER);
        }
        Set<String> activeZones = zones.getOrDefault(pool.pool(), Set.of());
        boolean zoneActive = activeZones.contains(host.zone().value());
        if (!zoneActive && activeZones.size() >= pool.budget().maxUnavailableZones()) {
            return Optional.of(MaintenanceReason.ZONES);
        }
        return Optional.empty();
    }

    void recordStart(Host host) {
        if (host.serves()) {
            unavailable.merge(host.pool(), 1, Integer::sum);
            serving.merge(host.pool(), -1, Integer::sum);
        }
        zones.computeIfAbsent(host.pool(), p -> new TreeSet<>()).add(host.zone().value());
    }

    void recordHold(PoolId pool, MaintenanceReason reason) {
        holds.putIfAbsent(pool, reason);
    }

    Map<PoolId, MaintenanceReason> holds() {
        return holds;
    }

    /**
     * Returns a lower bound of the number of successive rounds needed to maintain all due hosts. In
     * each round, a pool can have as many hosts and as many zones in maintenance as its budget
     * allows; the pool that needs the most rounds counts.
     *
     * @param active whether a round is in progress, which counts as one more
     */
    static int minRounds(MaintenanceView view, Predicate<Host> due, boolean active) {
        int most = 0;
        for (Pool pool : view.pools()) {
            Map<AvailabilityZone, Integer> counts = new HashMap<>();
            int all = 0;
            for (Host h : view.hosts()) {
                if (h.pool().equals(pool.pool()) && due.test(h)) {
                    counts.merge(h.zone(), 1, Integer::sum);
                    all++;
                }
            }
            int atOnce = Math.max(1, pool.budget().maxUnavailable());
            int byZone = counts.values().stream().mapToInt(n -> (n + atOnce - 1) / atOnce).sum();
            int zonesAtOnce = Math.max(1, pool.budget().maxUnavailableZones());
            int rounds =
                    Math.max((all + atOnce - 1) / atOnce, (byZone + zonesAtOnce - 1) / zonesAtOnce);
            most = Math.max(most, rounds);
        }
        return most + (active ? 1 : 0);
    }
}
