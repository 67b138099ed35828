package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * Gives each worker of a new fleet its first pool.
 *
 * <p>Workers are taken rack by rack in turn, one of each, and each goes to the pool that lacks the
 * largest part of its usual size; so a pool spreads over racks and availability zones. Daemons with
 * the same host list and configuration come to the same result.
 */
public final class InitialPools {
    private InitialPools() {}

    /** Returns a pool for each worker; empty if the configuration has no pools. */
    public static Map<WorkerId, PoolId> assign(List<HostEntry> hosts, FleetConfig config) {
        Map<PoolId, Integer> usual = usualSizes(config);
        Map<PoolId, Integer> assigned = new HashMap<>();
        Map<WorkerId, PoolId> result = new HashMap<>();
        if (usual.isEmpty()) {
            return result;
        }
        for (HostEntry host : inTurns(hosts)) {
            PoolId neediest = neediest(usual, assigned);
            assigned.merge(neediest, 1, Integer::sum);
            result.put(host.worker(), neediest);
        }
        return result;
    }

    private static Map<PoolId, Integer> usualSizes(FleetConfig config) {
        Map<PoolId, Integer> sizes = new TreeMap<>();
        for (ServiceConfig service : config.services().values()) {
            sizes.put(service.pool(), Math.max(1, service.capacity().usualWorkers()));
        }
        return sizes;
    }

    private static PoolId neediest(Map<PoolId, Integer> usual, Map<PoolId, Integer> assigned) {
        PoolId best = null;
        double bestPart = Double.MAX_VALUE;
        for (Map.Entry<PoolId, Integer> each : usual.entrySet()) {
            double part = assigned.getOrDefault(each.getKey(), 0) / (double) each.getValue();
            if (part < bestPart) {
                best = each.getKey();
                bestPart = part;
            }
        }
        return best;
    }

    private static List<HostEntry> inTurns(List<HostEntry> hosts) {
        Map<RackId, List<HostEntry>> racks = new TreeMap<>();
        for (HostEntry host : hosts) {
            racks.computeIfAbsent(host.rack(), rack -> new ArrayList<>()).add(host);
        }
        racks.values().forEach(rack -> rack.sort(Comparator.comparing(HostEntry::worker)));
        List<HostEntry> ordered = new ArrayList<>();
        for (int i = 0; ordered.size() < hosts.size(); i++) {
            for (List<HostEntry> rack : racks.values()) {
                if (i < rack.size()) {
                    ordered.add(rack.get(i));
                }
            }
        }
        return ordered;
    }
}
