package org.crocusgrade.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * An owner's answer to a demand message, or a later push that refers to the last demand message
 * received. Lease times count from the moment before that demand message was sent, on the
 * borrower's clock.
 *
 * @param owner the sender
 * @param boot the boot id of the sender's process
 * @param borrowerBoot the boot id of the borrower process that the message is for
 * @param answer grows with each message of the owner's process to this borrower
 * @param replyTo the sequence of the demand message
 * @param leaseTime the duration of the leases
 * @param renews whether the leases on all slots in the demand message are renewed, except the
 *     refused ones
 * @param added the newly leased slots
 * @param refused the slots of the demand message that are not renewed
 * @param pools the state of the owner's pools
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
            throw new IllegalArgumentException(
                    "answer and replyTo must be positive and leaseTime must not be negative");
        }
    }

    /**
     * Newly leased slots on one worker.
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
     * The state of one pool at the owner.
     *
     * @param pool the pool
     * @param limit the most slots that the borrower may keep from this owner; a limit below the
     *     number that it holds is a recall, and the borrower returns idle slots first
     * @param free the owner's slots in the pool that are not leased
     */
    public record PoolShare(PoolId pool, int limit, int free) {
        /** The limit while no other borrower lacks slots. */
        public static final int UNLIMITED = Integer.MAX_VALUE;

        /** Checks the fields. */
        public PoolShare {
            Objects.requireNonNull(pool);
            if (limit < 0 || free < 0) {
                throw new IllegalArgumentException("limit and free must not be negative");
            }
        }
    }
}
