package org.crocusgrade.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The owner's state for one borrower process: a daemon that leases slots from this owner,
 * identified by its boot id.
 */
final class BorrowerSession {
    final DaemonId daemon;
    final BootId boot;
    final Map<PoolId, Integer> wanted = new TreeMap<>();
    final Map<PoolId, Integer> sentLimits = new HashMap<>();
    Set<WorkerId> sentDraining = Set.of();
    AvailabilityZone zone;
    long lastSequence;
    long lastDemandNanos;
    long lastAnswer;
    long lastSentNanos;
    boolean ended;

    BorrowerSession(DaemonId daemon, BootId boot) {
        this.daemon = daemon;
        this.boot = boot;
    }
}
