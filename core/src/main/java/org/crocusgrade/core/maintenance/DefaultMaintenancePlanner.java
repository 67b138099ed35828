package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.Epoch;

/**
 * Maintains hosts in waves, zone by zone and rack by rack, within each service's budget.
 *
 * <p>Each look at the hosts has three parts. First every host that the wave works on is brought
 * forward by what is seen of it: a drained one is rebooted, one that is back is given back, one
 * that served long enough afterwards is done, one that does not come back has failed. Then the wave
 * is judged: failures that are not single stop it. Last, hosts are taken that are due, in the order
 * of zone and rack, as far as each pool's budget, zones, least number and demand allow; hosts that
 * are down for another cause use up the budget like those of the wave.
 *
 * <p>Why no host is drained twice: the record names a host as draining before it is drained, and a
 * host that the record names is not taken again in the wave. What follows from a phase may be done
 * again without harm, so a planner that was replaced between the record and the deed, or whose
 * answer was lost, just does it again: to drain a draining host changes nothing, and the platform
 * carries out an operation id once.
 *
 * <p>A wave starts when a host is older than most of its stated time or has another image than the
 * one rolled out, so there is time left for budgets, surges and stops before a host is overdue.
 */
public final class DefaultMaintenancePlanner implements MaintenancePlanner {
    @Override
    public MaintenanceStep next(MaintenanceView view, WaveRecord record, Epoch epoch) {
        if (epoch.compareTo(record.epoch()) < 0) {
            throw new IllegalArgumentException("the record was written by a later planner");
        }
        return new WaveRound(view, record, epoch).step();
    }
}
