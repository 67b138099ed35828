package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.fleet.WorkerLedger.Entry;
import org.crocusgrade.core.fleet.WorkerLedger.Use;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;

/**
 * Shares the slots of one pool's workers among the borrowers, once: leases free ones up to each
 * fair share, and limits those above theirs while others lack slots.
 */
final class SlotSharing {
    private final PoolId pool;
    private final List<WorkerLedger> workers;
    private final SlotLeaseTiming times;
    private final Map<Borrower, List<SlotGrant.Added>> added = new HashMap<>();
    private final Map<Borrower, Integer> limits = new HashMap<>();

    SlotSharing(PoolId pool, List<WorkerLedger> workers, SlotLeaseTiming times) {
        this.pool = pool;
        this.workers = workers;
        this.times = times;
    }

    /** Returns the slots leased anew. */
    Map<Borrower, List<SlotGrant.Added>> added() {
        return added;
    }

    /** Returns the borrowers that are to give slots back, with the number they may keep. */
    Map<Borrower, Integer> limits() {
        return limits;
    }

    /** Returns what all borrowers are told of the pool. */
    SlotGrant.PoolShare poolShare() {
        int free = workers.stream().mapToInt(each -> each.count(Use.FREE)).sum();
        return new SlotGrant.PoolShare(pool, SlotGrant.PoolShare.UNLIMITED, free);
    }

    /** Shares the slots among the borrowers whose last statement is recent. */
    void share(List<Borrower> borrowers, boolean granting, long now) {
        Map<DaemonId, Integer> wanted = new TreeMap<>();
        for (Borrower each : borrowers) {
            wanted.put(each.daemon, each.wanted.getOrDefault(pool, 0));
        }
        int usable = workers.stream().mapToInt(WorkerLedger::usable).sum();
        long turn = Math.floorDiv(now, times.lease().toNanos());
        Map<DaemonId, Integer> shares = FairShares.divide(wanted, usable, turn);
        int unmet = 0;
        for (Borrower each : borrowers) {
            int lacking = shares.get(each.daemon) - held(each);
            if (lacking > 0) {
                unmet += lacking - (granting ? lease(each, lacking) : 0);
            }
        }
        if (unmet == 0) {
            return;
        }
        for (Borrower each : borrowers) {
            int share = shares.get(each.daemon);
            if (held(each) > share) {
                limits.put(each, share);
            }
        }
    }

    private int held(Borrower borrower) {
        return workers.stream().mapToInt(each -> each.leasedTo(borrower)).sum();
    }

    private int lease(Borrower borrower, int lacking) {
        Map<WorkerLedger, Long> masks = new HashMap<>();
        int leased = 0;
        while (leased < lacking) {
            WorkerLedger next =
                    workers.stream()
                            .filter(each -> each.count(Use.FREE) > 0)
                            .max(preference(borrower))
                            .orElse(null);
            if (next == null) {
                break;
            }
            masks.merge(next, leaseOne(next, borrower), (a, b) -> a | b);
            leased++;
        }
        List<SlotGrant.Added> list = new ArrayList<>();
        masks.forEach((w, m) -> list.add(new SlotGrant.Added(pool, new WorkerSlots(w.worker, m))));
        list.sort(Comparator.comparing(each -> each.slots().worker()));
        if (!list.isEmpty()) {
            added.put(borrower, list);
        }
        return leased;
    }

    /** The borrower's own availability zone first, then the worker with the most free slots. */
    private static Comparator<WorkerLedger> preference(Borrower borrower) {
        Comparator<WorkerLedger> zone = Comparator.comparing(w -> w.zone.equals(borrower.zone));
        Comparator<WorkerLedger> free = Comparator.comparing(w -> w.count(Use.FREE));
        return zone.thenComparing(free).thenComparing(w -> w.worker);
    }

    private long leaseOne(WorkerLedger ledger, Borrower borrower) {
        for (int i = 0; i < ledger.entries.length; i++) {
            Entry entry = ledger.entries[i];
            if (entry.use == Use.FREE) {
                entry.use = Use.LEASED;
                entry.holder = borrower;
                entry.endNanos = borrower.arrivedNanos + times.ownerLeaseNanos();
                return 1L << i;
            }
        }
        throw new IllegalStateException("worker has no free slot");
    }
}
