package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.fleet.WorkerLeases.LeaseState;
import org.crocusgrade.core.fleet.WorkerLeases.SlotLease;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;

/**
 * One allocation of the slots of one pool's workers to the borrowers: leases free slots up to each
 * borrower's fair share, and limits borrowers that hold more than theirs while others lack slots.
 */
final class SlotAllocation {
    private final PoolId pool;
    private final List<WorkerLeases> workers;
    private final SlotLeaseTiming timing;
    private final Map<BorrowerSession, List<SlotGrant.Added>> added = new HashMap<>();
    private final Map<BorrowerSession, Integer> limits = new HashMap<>();

    SlotAllocation(PoolId pool, List<WorkerLeases> workers, SlotLeaseTiming timing) {
        this.pool = pool;
        this.workers = workers;
        this.timing = timing;
    }

    /** Returns the newly leased slots. */
    Map<BorrowerSession, List<SlotGrant.Added>> added() {
        return added;
    }

    /** Returns the borrowers that have to return slots, with the number that they may keep. */
    Map<BorrowerSession, Integer> limits() {
        return limits;
    }

    /** Returns the state of the pool that is sent to all borrowers, without a limit. */
    SlotGrant.PoolShare poolShare() {
        int free = workers.stream().mapToInt(each -> each.count(LeaseState.FREE)).sum();
        return new SlotGrant.PoolShare(pool, SlotGrant.PoolShare.UNLIMITED, free);
    }

    /**
     * Allocates the slots.
     *
     * @param borrowers the borrowers whose last demand message is recent
     * @param granting whether new leases may be granted; if not, only limits are computed
     */
    void allocate(List<BorrowerSession> borrowers, boolean granting, long now) {
        Map<DaemonId, Integer> wanted = new TreeMap<>();
        for (BorrowerSession each : borrowers) {
            wanted.put(each.daemon, each.wanted.getOrDefault(pool, 0));
        }
        int usable = workers.stream().mapToInt(WorkerLeases::usable).sum();
        long rotation = Math.floorDiv(now, timing.lease().toNanos());
        Map<DaemonId, Integer> shares = FairShares.divide(wanted, usable, rotation);
        int unmet = 0;
        for (BorrowerSession each : borrowers) {
            int shortfall = shares.get(each.daemon) - held(each);
            if (shortfall > 0) {
                unmet += shortfall - (granting ? lease(each, shortfall) : 0);
            }
        }
        if (unmet == 0) {
            return;
        }
        for (BorrowerSession each : borrowers) {
            int share = shares.get(each.daemon);
            if (held(each) > share) {
                limits.put(each, share);
            }
        }
    }

    private int held(BorrowerSession borrower) {
        return workers.stream().mapToInt(each -> each.leasedTo(borrower)).sum();
    }

    private int lease(BorrowerSession borrower, int shortfall) {
        Map<WorkerLeases, Long> masks = new HashMap<>();
        int leased = 0;
        while (leased < shortfall) {
            WorkerLeases next =
                    workers.stream()
                            .filter(each -> each.count(LeaseState.FREE) > 0)
                            .max(preference(borrower))
                            .orElse(null);
            if (next == null) {
                break;
            }
            masks.merge(next, leaseOne(next, borrower), (a, b) -> a | b);
            leased++;
        }
        List<SlotGrant.Added> grants = new ArrayList<>();
        masks.forEach(
                (w, m) -> grants.add(new SlotGrant.Added(pool, new WorkerSlots(w.worker, m))));
        grants.sort(Comparator.comparing(each -> each.slots().worker()));
        if (!grants.isEmpty()) {
            added.put(borrower, grants);
        }
        return leased;
    }

    /** Prefers workers in the borrower's availability zone, then those with the most free slots. */
    private static Comparator<WorkerLeases> preference(BorrowerSession borrower) {
        Comparator<WorkerLeases> zone = Comparator.comparing(w -> w.zone.equals(borrower.zone));
        Comparator<WorkerLeases> free = Comparator.comparing(w -> w.count(LeaseState.FREE));
        return zone.thenComparing(free).thenComparing(w -> w.worker);
    }

    private long leaseOne(WorkerLeases leases, BorrowerSession borrower) {
        for (int i = 0; i < leases.slots.length; i++) {
            SlotLease slot = leases.slots[i];
            if (slot.state == LeaseState.FREE) {
                slot.state = LeaseState.LEASED;
                slot.holder = borrower;
                slot.endNanos = borrower.lastDemandNanos + timing.ownerLeaseNanos();
                return 1L << i;
            }
        }
        throw new IllegalStateException("worker has no free slot");
    }
}
