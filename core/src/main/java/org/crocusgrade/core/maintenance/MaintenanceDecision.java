package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** An action for a host, or the reason why a pool gets none. Carrying one out is idempotent. */
public sealed interface MaintenanceDecision {
    /** Returns the reason for the decision. */
    MaintenanceReason reason();

    /** Gives a host no new work, so that it drains. */
    record Drain(WorkerId worker, MaintenanceReason reason) implements MaintenanceDecision {}

    /** Requests the reboot of a drained host; the platform carries out each operation id once. */
    record Reboot(WorkerId worker, String image, String operation, MaintenanceReason reason)
            implements MaintenanceDecision {}

    /** Returns a host to service. */
    record GiveBack(WorkerId worker, MaintenanceReason reason) implements MaintenanceDecision {}

    /** Starts the maintenance of no further host of a pool in this step. */
    record Hold(PoolId pool, MaintenanceReason reason) implements MaintenanceDecision {}
}
