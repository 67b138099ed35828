package org.crocusgrade.bench.guarantee;

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
 * Every service's availability budget holds. One case for each state change in which a reboot
 * requested by the system makes a worker unavailable: counting this worker, the workers of its pool
 * that are unavailable for any cause must be within the budget. A worker whose pool or budget is
 * not recorded is not checked.
 */
final class BudgetGuarantee implements Guarantee {
    @Override
    public String name() {
        return "availability-budget";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        Set<WorkerId> unavailable = new HashSet<>();
        for (HostEvent event : observations.hostEvents()) {
            if (event.state() == HostEntry.State.LIVE) {
                unavailable.remove(event.worker());
                continue;
            }
            unavailable.add(event.worker());
            if (event.planned()) {
                checkReboot(observations, event, unavailable, cases);
            }
        }
        return cases.result();
    }

    private static void checkReboot(
            Observations observations,
            HostEvent event,
            Set<WorkerId> unavailable,
            CaseCounter cases) {
        Map<WorkerId, PoolId> pools = poolsAt(observations.pools(), event.at());
        PoolId pool = pools.get(event.worker());
        Integer budget = pool == null ? null : observations.maxUnavailable().get(pool);
        if (budget == null) {
            return;
        }
        long count = unavailable.stream().filter(worker -> pool.equals(pools.get(worker))).count();
        cases.check(
                count <= budget,
                () ->
                        pool
                                + " had "
                                + count
                                + " unavailable workers with a budget of "
                                + budget
                                + " at "
                                + event.at());
    }

    private static Map<WorkerId, PoolId> poolsAt(List<Observations.PoolWrite> writes, Instant at) {
        Map<WorkerId, PoolId> pools = new HashMap<>();
        for (Observations.PoolWrite write : writes) {
            if (write.at().isAfter(at)) {
                break;
            }
            pools.put(write.worker(), write.pool());
        }
        return pools;
    }
}
