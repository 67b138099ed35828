package org.crocusgrade.core.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.RackId;

/**
 * The stored state of one rack in the platform's key-value store, written by compare-and-swap only.
 *
 * @param rack its id
 * @param zone its availability zone
 * @param owner the daemon that grants slots of its workers, if any
 * @param ownerBoot the boot id of the owner's process
 * @param epoch grows with each change of owner
 * @param workers its workers, about 4
 */
public record RackRecord(
        RackId rack,
        AvailabilityZone zone,
        Optional<DaemonId> owner,
        Optional<BootId> ownerBoot,
        Epoch epoch,
        List<WorkerRecord> workers) {
    /** Checks the fields and copies the list. */
    public RackRecord {
        Objects.requireNonNull(rack);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(owner);
        Objects.requireNonNull(ownerBoot);
        Objects.requireNonNull(epoch);
        workers = List.copyOf(workers);
    }
}
