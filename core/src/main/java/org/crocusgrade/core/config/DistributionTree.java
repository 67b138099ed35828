package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;

/**
 * Who waits for a new configuration at the platform, and who hands it to whom.
 *
 * <p>In each availability zone the daemon with the smallest id waits with a watch, so that waiting
 * costs the platform one call per zone. It hands what it gets to the other daemons of its zone
 * along a tree that each works out alone: the zone's daemons in the order of their ids, turned so
 * that the root is first; the one at place p hands to places f*p+1 to f*p+f. A fan-out of 1 is a
 * chain, one of all daemons is flat. Two views of the members that differ make two trees that
 * differ; whom a tree leaves out learns of the version by the digests that daemons exchange.
 */
public final class DistributionTree {
    private final Map<DaemonId, AvailabilityZone> members;
    private final int fanOut;

    /**
     * Makes a tree over a view of the members.
     *
     * @param fanOut how many others each daemon hands a configuration to
     */
    public DistributionTree(Map<DaemonId, AvailabilityZone> members, int fanOut) {
        if (fanOut < 1) {
            throw new IllegalArgumentException("fan-out must be 1 or more");
        }
        this.members = Map.copyOf(members);
        this.fanOut = fanOut;
    }

    /** Returns the daemon of a zone that waits at the platform, if the zone has any. */
    public Optional<DaemonId> watcher(AvailabilityZone zone) {
        return zone(zone).stream().findFirst();
    }

    /** Returns whom a daemon hands a configuration to that entered its zone at the root. */
    public List<DaemonId> children(DaemonId self, DaemonId root) {
        AvailabilityZone zone = members.get(root);
        if (zone == null || !zone.equals(members.get(self))) {
            return List.of();
        }
        List<DaemonId> order = zone(zone);
        int size = order.size();
        int first = order.indexOf(root);
        int place = Math.floorMod(order.indexOf(self) - first, size);
        List<DaemonId> children = new ArrayList<>();
        for (long next = (long) fanOut * place + 1;
                next <= (long) fanOut * place + fanOut;
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
