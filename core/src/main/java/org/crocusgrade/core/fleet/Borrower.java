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

/** What the owner knows of one run of a daemon that borrows slots. */
final class Borrower {
    final DaemonId daemon;
    final BootId boot;
    final Map<PoolId, Integer> wanted = new TreeMap<>();
    final Map<PoolId, Integer> limits = new HashMap<>();
    Set<WorkerId> draining = Set.of();
    AvailabilityZone zone;
    long sequence;
    long arrivedNanos;
    long answer;
    long askedNanos;
    boolean gone;

    Borrower(DaemonId daemon, BootId boot) {
        this.daemon = daemon;
        this.boot = boot;
    }
}
