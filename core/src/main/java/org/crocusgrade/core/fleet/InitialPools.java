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
 * Assigns each worker of a new fleet to its first pool.
 *
 * <p>Workers are taken round-robin over the racks, and each goes to the pool with the smallest
 * fraction of its usual size assigned so far; so the workers of a pool are spread over racks and
 * availability zones. The result depends only on the host list and the configuration, so daemons
 * that have the same ones compute the same assignment.
 */
public final class InitialPools {
    private InitialPools() {}

    /** Returns the pool of each worker; empty if the configuration has no pools. */
    public static Map<WorkerId, PoolId> assign(List<HostEntry> hosts, FleetConfig config) {
        Map<PoolId, Integer> usual = usualSizes(config);
        Map<PoolId, Integer> assigned = new HashMap<>();
        Map<WorkerId, PoolId> result = new HashMap<>();
        if (usual.isEmpty()) {
            return result;
        }
        for (HostEntry host : interleaveRacks(hosts)) {
            PoolId leastFilled = leastFilled(usual, assigned);
            assigned.merge(leastFilled, 1, Integer::sum);
            result.put(host.worker(), leastFilled);
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

    private static PoolId leastFilled(Map<PoolId, Integer> usual, Map<PoolId, Integer> assigned) {
        PoolId best = null;
        double lowestFill = Double.MAX_VALUE;
        for (Map.Entry<PoolId, Integer> each : usual.entrySet()) {
            double fill = assigned.getOrDefault(each.getKey(), 0) / (double) each.getValue();
            if (fill < lowestFill) {
                best = each.getKey();
                lowestFill = fill;
            }
        }
        return best;
    }

    private static List<HostEntry> interleaveRacks(List<HostEntry> hosts) {
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
