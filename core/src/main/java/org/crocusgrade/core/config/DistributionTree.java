package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;

/**
 * Decides which daemon of an availability zone watches the platform for a new configuration, and to
 * which other daemons each daemon forwards it.
 *
 * <p>In each zone only the daemon with the lowest id has a watch on the platform, so that watching
 * costs the platform one call per zone. A new configuration is distributed to the other daemons of
 * the zone along a tree that each daemon computes by itself from its view of the members. The tree
 * is a complete d-ary tree, where d is the fan-out: the daemons of the zone are sorted by id and
 * rotated so that the root is at index 0, and the children of the daemon at index i are those at
 * indices d*i+1 to d*i+d. With a fan-out of 1 the tree is a chain; with a fan-out of at least the
 * number of daemons the root forwards to all others directly.
 *
 * <p>Daemons with different views of the members compute different trees, which can leave a daemon
 * out. Such a daemon detects the new version from the version digests that daemons exchange.
 */
public final class DistributionTree {
    private final Map<DaemonId, AvailabilityZone> members;
    private final int fanOut;

    /**
     * Creates a tree from a view of the members.
     *
     * @param members the availability zone of each daemon
     * @param fanOut the maximum number of daemons that each daemon forwards a configuration to
     */
    public DistributionTree(Map<DaemonId, AvailabilityZone> members, int fanOut) {
        if (fanOut < 1) {
            throw new IllegalArgumentException("fan-out must be 1 or more");
        }
        this.members = Map.copyOf(members);
        this.fanOut = fanOut;
    }

    /**
     * Returns the daemon that watches the platform for a zone, or empty if the zone has no daemons.
     */
    public Optional<DaemonId> watcher(AvailabilityZone zone) {
        return zone(zone).stream().findFirst();
    }

    /**
     * Returns the children of a daemon in the tree with the given root; empty if the root is not a
     * member or the two daemons are not in the same zone.
     */
    public List<DaemonId> children(DaemonId self, DaemonId root) {
        AvailabilityZone zone = members.get(root);
        if (zone == null || !zone.equals(members.get(self))) {
            return List.of();
        }
        List<DaemonId> order = zone(zone);
        int size = order.size();
        int first = order.indexOf(root);
        int index = Math.floorMod(order.indexOf(self) - first, size);
        List<DaemonId> children = new ArrayList<>();
        for (long next = (long) fanOut * index + 1;
                next <= (long) fanOut * index + fanOut;
                next++) {
            if (next >= size) {
                break;
            }
            children.add(order.get((int) ((first + next) % size)));
        }
        return children;
    }

    private List<DaemonId> zone(AvailabilityZone zone) {
        TreeSet<DaemonId> found = new TreeSet<>();
        members.forEach(
                (daemon, at) -> {
                    if (at.equals(zone)) {
                        found.add(daemon);
                    }
                });
        return List.copyOf(found);
    }
}
