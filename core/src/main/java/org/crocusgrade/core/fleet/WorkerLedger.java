package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** The owner's account of one worker's slots. */
final class WorkerLedger {
    /** What is known of a slot. */
    enum Use {
        /** Nobody may use it and nothing runs on it. */
        FREE,
        /** Its holder may start requests on it. */
        LEASED,
        /** Its lease has run out; its holder may have a request running on it. */
        LAPSED,
        /** A daemon that is gone may have a request running on it. */
        ORPHANED
    }

    /** One slot. */
    static final class Entry {
        Use use = Use.FREE;
        Borrower holder;
        long endNanos;
        long grantedIn;
    }

    final WorkerId worker;
    final AvailabilityZone zone;
    final Entry[] entries;
    PoolId pool;
    boolean serving = true;

    WorkerLedger(WorkerId worker, AvailabilityZone zone, PoolId pool, int slots) {
        this.worker = worker;
        this.zone = zone;
        this.pool = pool;
        entries = new Entry[slots];
        for (int i = 0; i < slots; i++) {
            entries[i] = new Entry();
        }
    }

    int count(Use use) {
        int n = 0;
        for (Entry entry : entries) {
            n += entry.use == use ? 1 : 0;
        }
        return n;
    }

    /** Returns the slots that are leased or can be: those not blocked by work left behind. */
    int usable() {
        return count(Use.FREE) + count(Use.LEASED);
    }

    int leasedTo(Borrower holder) {
        int n = 0;
        for (Entry entry : entries) {
            n += entry.use == Use.LEASED && entry.holder == holder ? 1 : 0;
        }
        return n;
    }

    boolean hasLapsed(Borrower holder) {
        for (Entry entry : entries) {
            if (entry.use == Use.LAPSED && entry.holder == holder) {
                return true;
            }
        }
        return false;
    }

    /** Counts all slots as used by daemons that are gone, with leases up to the time. */
    void orphanAll(long until) {
        for (Entry entry : entries) {
            entry.endNanos = until;
            orphan(entry);
        }
    }

    /** Returns the slots for which an owner before may have leases out. */
    int orphansWithLease(long now) {
        int n = 0;
        for (Entry entry : entries) {
            n += entry.use == Use.ORPHANED && now - entry.endNanos < 0 ? 1 : 0;
        }
        return n;
    }

    /** Ends the leases that have run out. */
    void expire(long now) {
        for (Entry entry : entries) {
            if (entry.use == Use.LEASED && now - entry.endNanos >= 0) {
                entry.use = Use.LAPSED;
            }
            if (entry.use == Use.LAPSED && entry.holder.gone) {
                orphan(entry);
            }
        }
    }

    void free(Entry entry) {
        entry.use = Use.FREE;
        entry.holder = null;
    }

    /**
     * Frees work left behind beyond what the worker says it runs in all; returns whether any was.
     */
    boolean limitOrphans(int running, long asked) {
        List<Entry> left = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.use == Use.ORPHANED && asked - entry.endNanos >= 0) {
                left.add(entry);
            }
        }
        for (int i = running; i < left.size(); i++) {
            free(left.get(i));
        }
        return left.size() > running;
    }

    private static void orphan(Entry entry) {
        entry.use = Use.ORPHANED;
        entry.holder = null;
    }
}
