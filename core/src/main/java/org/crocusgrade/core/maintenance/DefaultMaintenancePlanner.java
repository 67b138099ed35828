package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.Epoch;

/**
 * Plans the maintenance of hosts in waves, zone by zone and rack by rack, within the availability
 * budget of each pool.
 *
 * <p>Each step has three parts. First, every host of the wave advances according to its observed
 * state: a drained host is rebooted; a host that is up again is returned to service; a host that
 * then served long enough is done; a host that does not come back in time has failed. Second, the
 * wave is stopped if too many hosts have failed, or any before the canary hosts are done. Third,
 * further due hosts are started, in the order of zone and rack, as far as the budget, the zone
 * limit, the minimum number of workers and the demand of each pool allow. Hosts that are down for
 * another cause use up the budget like those of the wave.
 *
 * <p>No host is maintained twice in a wave: the record names a host as draining before it is
 * drained, and a host that the record names is not started again in the same wave, unless it was
 * put back without a reboot. The actions of a phase are idempotent: draining a host that is
 * draining changes nothing, and the platform carries out each operation id once. A planner that was
 * replaced between writing the record and acting on it, or that got no answer, therefore repeats
 * the action.
 *
 * <p>A wave starts when the time since some host's last maintenance exceeds two thirds of its
 * maintenance interval, when a host has another image than the one being rolled out, or when a host
 * outside the wave is in the maintenance state. The remaining third of the interval leaves time for
 * budgets, surges and stopped waves before the host is overdue.
 */
public final class DefaultMaintenancePlanner implements MaintenancePlanner {
    @Override
    public MaintenanceStep next(MaintenanceView view, WaveRecord record, Epoch epoch) {
        if (epoch.compareTo(record.epoch()) < 0) {
            throw new IllegalArgumentException(
                    "the wave record was written by a planner with a later epoch");
        }
        return new WaveStepBuilder(view, record, epoch).step();
    }
}
