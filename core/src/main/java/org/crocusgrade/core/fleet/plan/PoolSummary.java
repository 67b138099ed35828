package org.crocusgrade.core.fleet.plan;

import java.util.List;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;

/**
 * What a decision on moves was based on for one pool.
 *
 * @param pool the pool
 * @param hosts the number of its hosts, without those that move or are to be maintained
 * @param empty the number of those without runs
 * @param longRunning the number of those with long-running tasks
 * @param incoming the number of hosts that are moving there
 * @param target its target, in cores
 * @param memoryBound whether memory, rather than processors, determines what its tasks need
 * @param surging whether it surges
 * @param lacking the number of hosts that its tasks need because no present one has room
 */
public record PoolSummary(
        ServiceId pool,
        int hosts,
        int empty,
        int longRunning,
        int incoming,
        double target,
        boolean memoryBound,
        boolean surging,
        int lacking) {
    /** Counts the hosts of a pool. */
    static PoolSummary of(
            PoolNeed need, List<HostView> all, int incoming, double target, boolean surging) {
        int count = 0;
        int empty = 0;
        int longRunning = 0;
        for (HostView host : all) {
            if (host.pool().equals(need.pool())) {
                count++;
                empty += host.recentlyReported() && host.running() == 0 ? 1 : 0;
                longRunning += host.longRunning() > 0 ? 1 : 0;
            }
        }
        return new PoolSummary(
                need.pool(),
                count,
                empty,
                longRunning,
                incoming,
                target,
                need.isMemoryBound(),
                surging,
                need.lackingHosts());
    }
}
