package org.crocusgrade.core.fleet;

import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;

/**
 * A demand message: the complete state that a daemon reports to one owner, with the slots on the
 * owner's workers that it wants, holds and uses. It renews the held slots. A slot that the sender
 * was granted but does not report is returned.
 *
 * @param from the sender
 * @param boot the boot id of the sender's process
 * @param zone the sender's availability zone
 * @param sequence grows with each demand message of the sender's process to this owner
 * @param ownerBoot the boot id of the owner process whose answers the sender has processed
 * @param lastAnswer the highest answer of that process processed so far, 0 for none
 * @param pools the demand, one entry for each pool with any
 * @param held the slots with a lease that has not ended
 * @param running the slots with a request running, with or without a lease
 */
public record SlotDemand(
        DaemonId from,
        BootId boot,
        AvailabilityZone zone,
        long sequence,
        BootId ownerBoot,
        long lastAnswer,
        List<PoolDemand> pools,
        List<WorkerSlots> held,
        List<WorkerSlots> running) {
    /** Checks the fields and copies the lists. */
    public SlotDemand {
        Objects.requireNonNull(from);
        Objects.requireNonNull(boot);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(ownerBoot);
        pools = List.copyOf(pools);
        held = List.copyOf(held);
        running = List.copyOf(running);
        if (sequence <= 0 || lastAnswer < 0) {
            throw new IllegalArgumentException(
                    "sequence must be positive and lastAnswer must not be negative");
        }
    }

    /**
     * The demand for one pool.
     *
     * @param pool the pool
     * @param wanted the number of slots that the sender wants from this owner, including those it
     *     holds
     */
    public record PoolDemand(PoolId pool, int wanted) {
        /** Checks the fields. */
        public PoolDemand {
            Objects.requireNonNull(pool);
            if (wanted < 0) {
                throw new IllegalArgumentException("wanted slots must not be negative");
            }
        }
    }
}
