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
 * What each pool's budget still allows. Every host that does not serve counts, for whatever cause;
 * so does one that the wave has taken although it is still seen to serve, and one that is given
 * back but still watched, so that a bad image meets few hosts of a pool.
 */
final class PoolBudgets {
    private final Map<PoolId, Integer> unavailable = new HashMap<>();
    private final Map<PoolId, Integer> serving = new HashMap<>();
    private final Map<PoolId, Set<String>> zones = new HashMap<>();
    private final Map<PoolId, MaintenanceReason> holds = new TreeMap<>();

    PoolBudgets(MaintenanceView view, Map<WorkerId, HostProgress> hosts) {
        for (Host h : view.hosts()) {
            HostProgress progress = hosts.get(h.worker());
            boolean ours =
                    progress != null
                            && progress.phase().active
                            && progress.phase() != HostProgress.Phase.WATCHED;
            if (ours) {
                zones.computeIfAbsent(h.pool(), p -> new TreeSet<>()).add(h.zone().value());
            }
            if (ours || !h.serves()) {
                unavailable.merge(h.pool(), 1, Integer::sum);
            } else {
                serving.merge(h.pool(), 1, Integer::sum);
            }
        }
    }

    /** Returns why a host may not be taken, if so; one that is out already costs nothing more. */
    Optional<MaintenanceReason> mayTake(Host host, Pool pool) {
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
        Set<String> open = zones.getOrDefault(pool.pool(), Set.of());
        boolean opened = open.contains(host.zone().value());
        if (!opened && open.size() >= pool.budget().maxUnavailableZones()) {
            return Optional.of(MaintenanceReason.ZONES);
        }
        return Optional.empty();
    }

    void take(Host host) {
        if (host.serves()) {
            unavailable.merge(host.pool(), 1, Integer::sum);
            serving.merge(host.pool(), -1, Integer::sum);
        }
        zones.computeIfAbsent(host.pool(), p -> new TreeSet<>()).add(host.zone().value());
    }

    void hold(PoolId pool, MaintenanceReason reason) {
        holds.putIfAbsent(pool, reason);
    }

    Map<PoolId, MaintenanceReason> holds() {
        return holds;
    }

    /**
     * Returns the rounds that the budgets ask for at least: a pool's hosts of a zone go by as many
     * at once as its budget allows, and its zones by as many as it allows; the slowest pool counts.
     *
     * @param open whether a round goes on already
     */
    static int rounds(MaintenanceView view, Predicate<Host> due, boolean open) {
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
            int zones = Math.max(1, pool.budget().maxUnavailableZones());
            int rounds = Math.max((all + atOnce - 1) / atOnce, (byZone + zones - 1) / zones);
            most = Math.max(most, rounds);
        }
        return most + (open ? 1 : 0);
    }
}
