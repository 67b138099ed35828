package org.crocusgrade.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * An owner's answer to a statement, or a later push that refers to the last statement received. All
 * lease times count from the moment before that statement was sent, on the borrower's clock.
 *
 * @param owner the sender
 * @param boot the sender's run
 * @param borrowerBoot the run of the borrower that the message is for
 * @param answer grows with each message of the run to this borrower
 * @param replyTo the sequence of the statement
 * @param leaseTime how long leases last
 * @param renews whether all slots in the statement are renewed, but for the refused ones
 * @param added the slots leased anew
 * @param refused the slots of the statement that are not renewed
 * @param pools what the owner says of its pools
 * @param draining the workers whose slots are to be returned as soon as they are idle
 */
public record SlotGrant(
        DaemonId owner,
        BootId boot,
        BootId borrowerBoot,
        long answer,
        long replyTo,
        Duration leaseTime,
        boolean renews,
        List<Added> added,
        List<WorkerSlots> refused,
        List<PoolShare> pools,
        List<WorkerId> draining) {
    /** Checks the fields and copies the lists. */
    public SlotGrant {
        Objects.requireNonNull(owner);
        Objects.requireNonNull(boot);
        Objects.requireNonNull(borrowerBoot);
        Objects.requireNonNull(leaseTime);
        added = List.copyOf(added);
        refused = List.copyOf(refused);
        pools = List.copyOf(pools);
        draining = List.copyOf(draining);
        if (answer <= 0 || replyTo <= 0 || leaseTime.isNegative()) {
            throw new IllegalArgumentException("numbers of a grant must be above 0");
        }
    }

    /**
     * Slots leased anew.
     *
     * @param pool the pool that they may serve
     * @param slots the slots
     */
    public record Added(PoolId pool, WorkerSlots slots) {
        /** Checks the fields. */
        public Added {
            Objects.requireNonNull(pool);
            Objects.requireNonNull(slots);
        }
    }

    /**
     * What the owner says of one pool.
     *
     * @param pool the pool
     * @param limit the most slots that the borrower may keep from this owner; a lower number than
     *     it holds is a recall, and the borrower picks idle slots first
     * @param free the owner's slots in the pool that nobody holds
     */
    public record PoolShare(PoolId pool, int limit, int free) {
        /** The limit while nobody else lacks a slot. */
        public static final int UNLIMITED = Integer.MAX_VALUE;

        /** Checks the fields. */
        public PoolShare {
            Objects.requireNonNull(pool);
            if (limit < 0 || free < 0) {
                throw new IllegalArgumentException("counts of slots must not be negative");
            }
        }
    }
}
