package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.crocusgrade.core.fleet.WorkerLedger.Entry;
import org.crocusgrade.core.fleet.WorkerLedger.Use;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The owner's side of slot leases: which daemon may use which slot of the owner's workers.
 *
 * <p>Idea. A borrower states at intervals, in one message for all workers of this owner, what it
 * wants, holds and runs. The answer renews what it holds and adds what it may have besides. The
 * message is the whole state, so a lost one heals with the next. A slot is never leased twice:
 *
 * <ul>
 *   <li>A lease ends on the borrower's clock a lease time after a moment before its statement was
 *       sent, and here a lengthened lease time after the statement arrived, which is later by any
 *       two clocks whose rates differ by less than the margin.
 *   <li>A slot that a statement leaves out is free only if the borrower had processed the answer
 *       that granted it; else the grant may still be on its way.
 *   <li>Statements and answers are numbered, and older ones than the last are dropped.
 *   <li>A slot whose lease ran out unreturned may have a request running. It stays blocked until
 *       its holder states that it is not, or, when the holder is gone, until the worker itself
 *       reports fewer requests running than are unaccounted for.
 * </ul>
 *
 * <p>Worked case. A holds the 8 slots of a worker and wants 2; B starts to want 6. B's statement
 * makes the shares A 2, B 6; A is sent the limit 2, gives 6 idle slots back in its next statement,
 * and B is sent them: two round trips. Had A crashed, its leases run out, A is reported gone, and
 * the worker's own count of running requests frees the slots.
 *
 * <p>Shares are computed anew for each message, over all borrowers and workers of a pool; with
 * hundreds of borrowers and workers for one owner this would be slow. Not safe for several threads.
 */
public final class SlotTable {
    /** How many runs that are gone are remembered, to drop late messages of theirs. */
    private static final int MAX_PAST = 1024;

    private final DaemonId self;
    private final BootId boot;
    private final SlotLeaseTiming times;
    private final Map<WorkerId, WorkerLedger> workers = new TreeMap<>();
    private final Map<DaemonId, Borrower> borrowers = new TreeMap<>();
    private final Set<BootId> past = new LinkedHashSet<>();
    private boolean bounded;
    private long authorityEndNanos;

    /** Makes a table without workers. */
    public SlotTable(DaemonId self, BootId boot, SlotLeaseTiming times) {
        this.self = Objects.requireNonNull(self);
        this.boot = Objects.requireNonNull(boot);
        this.times = Objects.requireNonNull(times);
    }

    /** A message and the daemon that it is for. */
    public record Outgoing(DaemonId to, SlotGrant grant) {}

    /**
     * What is out of one worker's slots.
     *
     * @param leased slots on which requests may still start, those of an owner before included
     * @param running slots without a lease whose holder has not stated that nothing runs
     * @param orphaned slots of daemons that are gone, on which something may run
     */
    public record Outstanding(int leased, int running, int orphaned) {
        /** Returns whether no request can start and none can be running. */
        public boolean isNone() {
            return leased == 0 && running == 0 && orphaned == 0;
        }
    }

    /** Makes the table grant and renew nothing from the moment on; a later call replaces it. */
    public void setAuthorityEnd(long nanoTime) {
        bounded = true;
        authorityEndNanos = nanoTime;
    }

    /** Adds a worker whose slots no owner ever granted. */
    public void addNew(WorkerId worker, AvailabilityZone zone, PoolId pool, int slots) {
        workers.put(worker, new WorkerLedger(worker, zone, pool, slots));
    }

    /**
     * Adds a worker whose slots another owner may have granted. All of them count as used by
     * daemons that are gone, until {@link #onWorkerRunning} says otherwise.
     *
     * @param quiet when the last lease of the owner before has run out
     */
    public void adopt(WorkerId worker, AvailabilityZone zone, PoolId pool, int slots, long quiet) {
        WorkerLedger ledger = new WorkerLedger(worker, zone, pool, slots);
        ledger.orphanAll(quiet);
        workers.put(worker, ledger);
    }

    /**
     * Changes a worker's pool if no lease and no holder's work is outstanding.
     *
     * @return whether the worker is in the pool now
     */
    public boolean setPool(WorkerId worker, PoolId pool) {
        WorkerLedger ledger = workers.get(worker);
        if (ledger == null) {
            return false;
        }
        if (ledger.count(Use.LEASED) == 0 && ledger.count(Use.LAPSED) == 0) {
            ledger.pool = pool;
        }
        return ledger.pool.equals(pool);
    }

    /** Returns whether slots of a worker are blocked by daemons that are gone. */
    public boolean hasOrphans(WorkerId worker) {
        WorkerLedger ledger = workers.get(worker);
        return ledger != null && ledger.count(Use.ORPHANED) > 0;
    }

    /** Starts or stops granting a worker's slots; when stopped, they are recalled. */
    public void setServing(WorkerId worker, boolean serving) {
        WorkerLedger ledger = workers.get(worker);
        if (ledger != null) {
            ledger.serving = serving;
        }
    }

    /** Forgets a worker that is gone or owned by another daemon. */
    public void removeWorker(WorkerId worker) {
        workers.remove(worker);
    }

    /** Returns the workers in the table. */
    public Set<WorkerId> workers() {
        return Set.copyOf(workers.keySet());
    }

    /** Returns what is out of a worker's slots. */
    public Outstanding outstanding(WorkerId worker, long now) {
        WorkerLedger ledger = workers.get(worker);
        if (ledger == null) {
            return new Outstanding(0, 0, 0);
        }
        ledger.expire(now);
        int quiet = ledger.orphansWithLease(now);
        return new Outstanding(
                ledger.count(Use.LEASED) + quiet,
                ledger.count(Use.LAPSED),
                ledger.count(Use.ORPHANED) - quiet);
    }

    /** Returns the slots of a pool that each daemon with a recent statement wants here. */
    public Map<DaemonId, Integer> wanted(PoolId pool, long now) {
        Map<DaemonId, Integer> wanted = new TreeMap<>();
        for (Borrower each : borrowers.values()) {
            int slots = each.wanted.getOrDefault(pool, 0);
            if (slots > 0 && isRecent(each, now)) {
                wanted.put(each.daemon, slots);
            }
        }
        return wanted;
    }

    /** Takes the word of the membership that a daemon's run is gone for good. */
    public List<Outgoing> onBorrowerGone(DaemonId daemon, BootId run, long now) {
        Borrower borrower = borrowers.get(daemon);
        if (borrower == null || !borrower.boot.equals(run)) {
            return List.of();
        }
        retire(borrower);
        return tick(now);
    }

    /**
     * Takes a worker's own count of running requests. It frees only slots whose leases had run out
     * when it was asked for.
     *
     * @param asked a time before the worker was asked
     */
    public List<Outgoing> onWorkerRunning(WorkerId worker, int running, long asked, long now) {
        WorkerLedger ledger = workers.get(worker);
        if (ledger == null) {
            return List.of();
        }
        ledger.expire(now);
        return ledger.limitOrphans(running, asked) ? tick(now) : List.of();
    }

    /** Takes a statement and returns the answer, with what it makes due to other borrowers. */
    public List<Outgoing> onDemand(SlotDemand demand, long now) {
        if (past.contains(demand.boot())) {
            return List.of();
        }
        Borrower borrower = borrowerOf(demand);
        if (demand.sequence() <= borrower.sequence) {
            return List.of();
        }
        borrower.zone = demand.zone();
        borrower.sequence = demand.sequence();
        borrower.arrivedNanos = now;
        borrower.wanted.clear();
        for (SlotDemand.PoolDemand each : demand.pools()) {
            borrower.wanted.put(each.pool(), each.wanted());
        }
        List<WorkerSlots> refused = renew(borrower, demand, now);
        return distribute(borrower, refused, now);
    }

    /** Ends leases that have run out and returns what that makes due. */
    public List<Outgoing> tick(long now) {
        return distribute(null, List.of(), now);
    }

    private Borrower borrowerOf(SlotDemand demand) {
        Borrower known = borrowers.get(demand.from());
        if (known != null && known.boot.equals(demand.boot())) {
            return known;
        }
        if (known != null) {
            retire(known);
        }
        Borrower made = new Borrower(demand.from(), demand.boot());
        borrowers.put(demand.from(), made);
        return made;
    }

    private void retire(Borrower borrower) {
        borrower.gone = true;
        borrowers.remove(borrower.daemon);
        past.add(borrower.boot);
        if (past.size() > MAX_PAST) {
            past.remove(past.iterator().next());
        }
    }

    private List<WorkerSlots> renew(Borrower borrower, SlotDemand demand, long now) {
        Map<WorkerId, Long> stated = new TreeMap<>();
        addMasks(stated, demand.held());
        addMasks(stated, demand.running());
        boolean known = demand.ownerBoot().equals(boot);
        long processed = known ? demand.lastAnswer() : 0;
        boolean renews = known && isGranting(now);
        for (WorkerLedger ledger : workers.values()) {
            ledger.expire(now);
            long mask = stated.getOrDefault(ledger.worker, 0L);
            long renewed = renew(ledger, borrower, mask, processed, renews && ledger.serving, now);
            stated.computeIfPresent(ledger.worker, (worker, all) -> all & ~renewed);
        }
        List<WorkerSlots> refused = new ArrayList<>();
        for (Map.Entry<WorkerId, Long> each : stated.entrySet()) {
            if (each.getValue() != 0) {
                refused.add(new WorkerSlots(each.getKey(), each.getValue()));
            }
        }
        return refused;
    }

    private long renew(
            WorkerLedger ledger,
            Borrower borrower,
            long stated,
            long processed,
            boolean renews,
            long now) {
        long renewed = 0;
        for (int i = 0; i < ledger.entries.length; i++) {
            long bit = 1L << i;
            Entry entry = ledger.entries[i];
            if (entry.holder != borrower) {
                continue;
            }
            boolean isStated = (stated & bit) != 0;
            if (isStated && renews) {
                entry.use = Use.LEASED;
                entry.endNanos = now + times.ownerLeaseNanos();
                renewed |= bit;
            }
            if (!isStated && entry.grantedIn <= processed) {
                ledger.free(entry);
            }
        }
        return renewed;
    }

    private List<Outgoing> distribute(Borrower answered, List<WorkerSlots> refused, long now) {
        for (WorkerLedger ledger : workers.values()) {
            ledger.expire(now);
        }
        Map<PoolId, List<WorkerLedger>> pools = new TreeMap<>();
        for (WorkerLedger ledger : workers.values()) {
            if (ledger.serving) {
                pools.computeIfAbsent(ledger.pool, pool -> new ArrayList<>()).add(ledger);
            }
        }
        Map<Borrower, List<SlotGrant.Added>> added = new HashMap<>();
        Map<Borrower, Map<PoolId, Integer>> limits = new HashMap<>();
        List<SlotGrant.PoolShare> open = new ArrayList<>();
        for (Map.Entry<PoolId, List<WorkerLedger>> each : pools.entrySet()) {
            SlotSharing sharing = new SlotSharing(each.getKey(), each.getValue(), times);
            sharing.share(recent(now), isGranting(now), now);
            sharing.added().forEach((b, a) -> added.computeIfAbsent(b, k -> list()).addAll(a));
            sharing.limits().forEach((b, n) -> put(limits, b, each.getKey(), n));
            open.add(sharing.poolShare());
        }
        List<Outgoing> out = new ArrayList<>();
        for (Borrower borrower : borrowers.values()) {
            List<SlotGrant.Added> more = added.getOrDefault(borrower, List.of());
            Map<PoolId, Integer> bounds = limits.getOrDefault(borrower, Map.of());
            Set<WorkerId> draining = draining(borrower);
            boolean isAnswer = borrower == answered;
            if (isAnswer || isNews(borrower, more, bounds, draining, now)) {
                List<WorkerSlots> not = isAnswer ? refused : List.of();
                out.add(message(borrower, isAnswer, more, not, open, bounds, draining, now));
            }
        }
        return out;
    }

    private Outgoing message(
            Borrower borrower,
            boolean isAnswer,
            List<SlotGrant.Added> added,
            List<WorkerSlots> refused,
            List<SlotGrant.PoolShare> open,
            Map<PoolId, Integer> limits,
            Set<WorkerId> draining,
            long now) {
        borrower.limits.clear();
        borrower.limits.putAll(limits);
        borrower.draining = draining;
        borrower.askedNanos = now;
        borrower.answer++;
        for (SlotGrant.Added each : added) {
            WorkerLedger ledger = workers.get(each.slots().worker());
            for (int i = 0; i < ledger.entries.length; i++) {
                if ((each.slots().mask() & 1L << i) != 0) {
                    ledger.entries[i].grantedIn = borrower.answer;
                }
            }
        }
        List<SlotGrant.PoolShare> shares = new ArrayList<>();
        for (SlotGrant.PoolShare each : open) {
            int limit = limits.getOrDefault(each.pool(), each.limit());
            boolean concerns = borrower.wanted.containsKey(each.pool());
            if (concerns || limit != SlotGrant.PoolShare.UNLIMITED) {
                shares.add(new SlotGrant.PoolShare(each.pool(), limit, each.free()));
            }
        }
        SlotGrant grant =
                new SlotGrant(
                        self,
                        boot,
                        borrower.boot,
                        borrower.answer,
                        borrower.sequence,
                        times.lease(),
                        isAnswer && isGranting(now),
                        added,
                        refused,
                        shares,
                        List.copyOf(draining));
        return new Outgoing(borrower.daemon, grant);
    }

    private boolean isNews(
            Borrower borrower,
            List<SlotGrant.Added> added,
            Map<PoolId, Integer> limits,
            Set<WorkerId> draining,
            long now) {
        if (!added.isEmpty() || !limits.equals(borrower.limits)) {
            return true;
        }
        if (!draining.equals(borrower.draining)) {
            return true;
        }
        long latest = Math.max(borrower.askedNanos, borrower.arrivedNanos);
        boolean quiet = now - latest >= times.lease().toNanos();
        return quiet && workers.values().stream().anyMatch(w -> w.hasLapsed(borrower));
    }

    private Set<WorkerId> draining(Borrower borrower) {
        Set<WorkerId> draining = new TreeSet<>();
        for (WorkerLedger ledger : workers.values()) {
            if (!ledger.serving && ledger.leasedTo(borrower) > 0) {
                draining.add(ledger.worker);
            }
        }
        return draining;
    }

    private List<Borrower> recent(long now) {
        return borrowers.values().stream().filter(each -> isRecent(each, now)).toList();
    }

    private boolean isRecent(Borrower borrower, long now) {
        long usable = times.lease().minus(times.renewal()).toNanos();
        return now - borrower.arrivedNanos < usable;
    }

    private boolean isGranting(long now) {
        return !bounded || now - authorityEndNanos < 0;
    }

    private static void addMasks(Map<WorkerId, Long> masks, List<WorkerSlots> slots) {
        for (WorkerSlots each : slots) {
            masks.merge(each.worker(), each.mask(), (a, b) -> a | b);
        }
    }

    private static void put(
            Map<Borrower, Map<PoolId, Integer>> limits, Borrower to, PoolId pool, int limit) {
        limits.computeIfAbsent(to, key -> new TreeMap<>()).put(pool, limit);
    }

    private static List<SlotGrant.Added> list() {
        return new ArrayList<>();
    }
}
