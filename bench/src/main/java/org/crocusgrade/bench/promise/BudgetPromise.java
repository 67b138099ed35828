package org.crocusgrade.bench.promise;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;

/**
 * Every service's availability budget holds. A case is a reboot that the system asked for: with it,
 * the workers of its pool that are unavailable for whatever cause must be within the budget.
 */
final class BudgetPromise implements Promise {
    @Override
    public String name() {
        return "availability-budget";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        Set<WorkerId> away = new HashSet<>();
        for (HostEvent event : evidence.hostEvents()) {
            if (event.state() == HostEntry.State.LIVE) {
                away.remove(event.worker());
                continue;
            }
            away.add(event.worker());
            if (event.planned()) {
                checkReboot(evidence, event, away, tally);
            }
        }
        return tally.verdict();
    }

    private static void checkReboot(
            Evidence evidence, HostEvent event, Set<WorkerId> away, Tally tally) {
        Map<WorkerId, PoolId> pools = poolsAt(evidence.pools(), event.at());
        PoolId pool = pools.get(event.worker());
        Integer budget = pool == null ? null : evidence.unavailable().get(pool);
        if (budget == null) {
            return;
        }
        long count = away.stream().filter(worker -> pool.equals(pools.get(worker))).count();
        tally.check(
                count <= budget,
                () -> pool + " had " + count + " of " + budget + " unavailable at " + event.at());
    }

    private static Map<WorkerId, PoolId> poolsAt(List<Evidence.PoolWrite> writes, Instant at) {
        Map<WorkerId, PoolId> pools = new HashMap<>();
        for (Evidence.PoolWrite write : writes) {
            if (write.at().isAfter(at)) {
                break;
            }
            pools.put(write.worker(), write.pool());
        }
        return pools;
    }
}
