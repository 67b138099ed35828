package org.crocusgrade.core.maintenance;

import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** One thing to do, or a reason not to. Each can be carried out again without harm. */
public sealed interface MaintenanceDecision {
    /** Returns why. */
    MaintenanceReason reason();

    /** Lets a host get no new work, so that it drains. */
    record Drain(WorkerId worker, MaintenanceReason reason) implements MaintenanceDecision {}

    /** Asks the platform to reboot a drained host; an operation id is carried out once. */
    record Reboot(WorkerId worker, String image, String operation, MaintenanceReason reason)
            implements MaintenanceDecision {}

    /** Lets a host serve again. */
    record GiveBack(WorkerId worker, MaintenanceReason reason) implements MaintenanceDecision {}

    /** Takes no further host of a pool now. */
    record Hold(PoolId pool, MaintenanceReason reason) implements MaintenanceDecision {}
}
