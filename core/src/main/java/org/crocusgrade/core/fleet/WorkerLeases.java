package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** The owner's lease state of each slot of one worker. */
final class WorkerLeases {
    /** The lease state of a slot. */
    enum LeaseState {
        /** Not leased, and no request runs on it. */
        FREE,
        /** Leased; its holder may start requests on it. */
        LEASED,
        /**
         * Its lease has ended without being returned; its holder may have a request running on it.
         */
        EXPIRED,
        /**
         * A daemon that has ended, or a previous owner's borrower, may have a request running on
         * it.
         */
        ORPHANED
    }

    /** The lease of one slot. */
    static final class SlotLease {
        LeaseState state = LeaseState.FREE;
        BorrowerSession holder;
        long endNanos;

        /** The number of the answer that granted the lease. */
        long grantedInAnswer;
    }

    final WorkerId worker;
    final AvailabilityZone zone;
    final SlotLease[] slots;
    PoolId pool;
    boolean serving = true;

    WorkerLeases(WorkerId worker, AvailabilityZone zone, PoolId pool, int slotCount) {
        this.worker = worker;
        this.zone = zone;
        this.pool = pool;
        slots = new SlotLease[slotCount];
        for (int i = 0; i < slotCount; i++) {
            slots[i] = new SlotLease();
        }
    }

    int count(LeaseState state) {
        int n = 0;
        for (SlotLease slot : slots) {
            n += slot.state == state ? 1 : 0;
        }
        return n;
    }

    /**
     * Returns the number of slots that are leased or can be: all but those that are blocked because
     * a request may still run on them after the end of their lease.
     */
    int usable() {
        return count(LeaseState.FREE) + count(LeaseState.LEASED);
    }

    int leasedTo(BorrowerSession holder) {
        int n = 0;
        for (SlotLease slot : slots) {
            n += slot.state == LeaseState.LEASED && slot.holder == holder ? 1 : 0;
        }
        return n;
    }

    boolean hasExpired(BorrowerSession holder) {
        for (SlotLease slot : slots) {
            if (slot.state == LeaseState.EXPIRED && slot.holder == holder) {
                return true;
            }
        }
        return false;
    }

    /** Marks all slots as orphaned, with leases that last until the given time. */
    void orphanAll(long leaseEndNanos) {
        for (SlotLease slot : slots) {
            slot.endNanos = leaseEndNanos;
            orphan(slot);
        }
    }

    /**
     * Returns the number of orphaned slots whose leases, granted by a previous owner, may not have
     * ended yet.
     */
    int orphansWithLease(long now) {
        int n = 0;
        for (SlotLease slot : slots) {
            n += slot.state == LeaseState.ORPHANED && now - slot.endNanos < 0 ? 1 : 0;
        }
        return n;
    }

    /**
     * Marks the leases that have ended as expired, and the expired slots of ended borrower sessions
     * as orphaned.
     */
    void expire(long now) {
        for (SlotLease slot : slots) {
            if (slot.state == LeaseState.LEASED && now - slot.endNanos >= 0) {
                slot.state = LeaseState.EXPIRED;
            }
            if (slot.state == LeaseState.EXPIRED && slot.holder.ended) {
                orphan(slot);
            }
        }
    }

    void free(SlotLease slot) {
        slot.state = LeaseState.FREE;
        slot.holder = null;
    }

    /**
     * Frees orphaned slots in excess of the worker's count of running requests, and returns whether
     * any was freed. Only slots whose leases had ended before the worker was queried are
     * considered.
     *
     * @param running the requests that run on the worker, from all daemons
     * @param queriedNanos a time before the worker was queried
     */
    boolean limitOrphans(int running, long queriedNanos) {
        List<SlotLease> candidates = new ArrayList<>();
        for (SlotLease slot : slots) {
            if (slot.state == LeaseState.ORPHANED && queriedNanos - slot.endNanos >= 0) {
                candidates.add(slot);
            }
        }
        for (int i = running; i < candidates.size(); i++) {
            free(candidates.get(i));
        }
        return candidates.size() > running;
    }

    private static void orphan(SlotLease slot) {
        slot.state = LeaseState.ORPHANED;
        slot.holder = null;
    }
}
