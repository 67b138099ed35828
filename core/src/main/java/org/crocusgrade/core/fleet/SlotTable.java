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
import org.crocusgrade.core.fleet.WorkerLeases.LeaseState;
import org.crocusgrade.core.fleet.WorkerLeases.SlotLease;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The owner's side of slot leases: which daemon may use which slot of the owner's workers.
 *
 * <p>At intervals, a borrower sends one demand message for all workers of this owner, with the
 * slots that it wants, holds and uses. The answer renews the held slots and adds newly leased ones.
 * The message carries the complete state, so the next one repairs the loss of any. A slot is never
 * leased to two borrowers at the same time:
 *
 * <ul>
 *   <li>On the borrower's clock a lease is counted from a moment before its demand message was
 *       sent; here it is counted from the arrival of that message, and lengthened. So it ends later
 *       here with any two clocks whose rates differ by less than the margin.
 *   <li>A slot that a demand message leaves out is free only if the borrower had processed the
 *       answer that granted it; otherwise the grant may still be in transit.
 *   <li>Demand messages and answers are numbered, and those that are not newer than the last one
 *       are dropped.
 *   <li>A slot whose lease ended without being returned may have a request running. It stays
 *       blocked until its holder reports that none runs, or, if the holder has ended, until the
 *       worker itself reports fewer running requests than it has orphaned slots.
 * </ul>
 *
 * <p>Example: A holds the 8 slots of a worker and wants 2; then B wants 6. B's demand message makes
 * the shares A 2, B 6. A is sent the limit 2 and returns 6 idle slots with its next demand message,
 * and B is granted them: two round trips. If A had crashed, its leases would end, A would be
 * reported as ended, and the worker's own count of running requests would free the slots.
 *
 * <p>Load: shares are recomputed for each message, over all borrowers and workers of a pool; with
 * hundreds of borrowers and workers for one owner this would be slow.
 *
 * <p>Not thread-safe.
 */
public final class SlotTable {
    /**
     * The number of boot ids of ended borrower processes that are kept, to drop their late
     * messages.
     */
    private static final int MAX_ENDED_BOOTS = 1024;

    private final DaemonId self;
    private final BootId boot;
    private final SlotLeaseTiming timing;
    private final Map<WorkerId, WorkerLeases> workers = new TreeMap<>();
    private final Map<DaemonId, BorrowerSession> borrowers = new TreeMap<>();
    private final Set<BootId> endedBoots = new LinkedHashSet<>();
    private boolean hasAuthorityEnd;
    private long authorityEndNanos;

    /** Creates a table without workers. */
    public SlotTable(DaemonId self, BootId boot, SlotLeaseTiming timing) {
        this.self = Objects.requireNonNull(self);
        this.boot = Objects.requireNonNull(boot);
        this.timing = Objects.requireNonNull(timing);
    }

    /** A message and the borrower that it is for. */
    public record Outgoing(DaemonId to, SlotGrant grant) {}

    /**
     * The slots of one worker that may be in use.
     *
     * @param leased slots on which requests may still start, including those leased by a previous
     *     owner
     * @param running slots without a lease whose holder has not yet reported that no request runs
     * @param orphaned slots of ended daemon processes or of a previous owner's borrowers, on which
     *     a request may still run
     */
    public record Outstanding(int leased, int running, int orphaned) {
        /** Returns whether no request can start and none can be running. */
        public boolean isNone() {
            return leased == 0 && running == 0 && orphaned == 0;
        }
    }

    /**
     * Sets the time after which the table neither grants nor renews leases; a later call replaces
     * it.
     */
    public void setAuthorityEnd(long nanoTime) {
        hasAuthorityEnd = true;
        authorityEndNanos = nanoTime;
    }

    /** Adds a worker whose slots have never been granted by any owner. */
    public void addNew(WorkerId worker, AvailabilityZone zone, PoolId pool, int slots) {
        workers.put(worker, new WorkerLeases(worker, zone, pool, slots));
    }

    /**
     * Adds a worker whose slots a previous owner may have granted. All of them count as orphaned
     * until {@link #onWorkerRunning} frees them.
     *
     * @param leasesEndNanos when the last lease of the previous owner has ended
     */
    public void adopt(
            WorkerId worker, AvailabilityZone zone, PoolId pool, int slots, long leasesEndNanos) {
        WorkerLeases leases = new WorkerLeases(worker, zone, pool, slots);
        leases.orphanAll(leasesEndNanos);
        workers.put(worker, leases);
    }

    /**
     * Changes a worker's pool unless slots are leased, or have expired and may still have a request
     * of their holder running.
     *
     * @return whether the worker is in the pool now
     */
    public boolean setPool(WorkerId worker, PoolId pool) {
        WorkerLeases leases = workers.get(worker);
        if (leases == null) {
            return false;
        }
        if (leases.count(LeaseState.LEASED) == 0 && leases.count(LeaseState.EXPIRED) == 0) {
            leases.pool = pool;
        }
        return leases.pool.equals(pool);
    }

    /**
     * Returns whether slots of a worker are blocked because ended daemon processes or a previous
     * owner's borrowers may have requests running on them.
     */
    public boolean hasOrphans(WorkerId worker) {
        WorkerLeases leases = workers.get(worker);
        return leases != null && leases.count(LeaseState.ORPHANED) > 0;
    }

    /**
     * Starts or stops granting a worker's slots; while stopped, its leased slots are recalled and
     * their leases are not renewed.
     */
    public void setServing(WorkerId worker, boolean serving) {
        WorkerLeases leases = workers.get(worker);
        if (leases != null) {
            leases.serving = serving;
        }
    }

    /** Removes a worker that no longer exists or that another daemon owns. */
    public void removeWorker(WorkerId worker) {
        workers.remove(worker);
    }

    public Set<WorkerId> workers() {
        return Set.copyOf(workers.keySet());
    }

    /** Returns the slots of a worker that may be in use; none for an unknown worker. */
    public Outstanding outstanding(WorkerId worker, long now) {
        WorkerLeases leases = workers.get(worker);
        if (leases == null) {
            return new Outstanding(0, 0, 0);
        }
        leases.expire(now);
        int withLease = leases.orphansWithLease(now);
        return new Outstanding(
                leases.count(LeaseState.LEASED) + withLease,
                leases.count(LeaseState.EXPIRED),
                leases.count(LeaseState.ORPHANED) - withLease);
    }

    /**
     * Returns the slots of a pool that each daemon wants from this owner, by its last demand
     * message if that is recent; daemons without demand are absent.
     */
    public Map<DaemonId, Integer> wanted(PoolId pool, long now) {
        Map<DaemonId, Integer> wanted = new TreeMap<>();
        for (BorrowerSession each : borrowers.values()) {
            int slots = each.wanted.getOrDefault(pool, 0);
            if (slots > 0 && isActive(each, now)) {
                wanted.put(each.daemon, slots);
            }
        }
        return wanted;
    }

    /** Ends the session of a daemon's process that has left the membership for good. */
    public List<Outgoing> onBorrowerEnded(DaemonId daemon, BootId borrowerBoot, long now) {
        BorrowerSession borrower = borrowers.get(daemon);
        if (borrower == null || !borrower.boot.equals(borrowerBoot)) {
            return List.of();
        }
        endSession(borrower);
        return tick(now);
    }

    /**
     * Applies a worker's own count of running requests. It frees only slots whose leases had ended
     * when the worker was queried.
     *
     * @param queriedNanos a time before the worker was queried
     */
    public List<Outgoing> onWorkerRunning(
            WorkerId worker, int running, long queriedNanos, long now) {
        WorkerLeases leases = workers.get(worker);
        if (leases == null) {
            return List.of();
        }
        leases.expire(now);
        return leases.limitOrphans(running, queriedNanos) ? tick(now) : List.of();
    }

    /**
     * Applies a demand message and returns the answer, with the messages that become due to other
     * borrowers.
     */
    public List<Outgoing> onDemand(SlotDemand demand, long now) {
        if (endedBoots.contains(demand.boot())) {
            return List.of();
        }
        BorrowerSession borrower = sessionOf(demand);
        if (demand.sequence() <= borrower.lastSequence) {
            return List.of();
        }
        borrower.zone = demand.zone();
        borrower.lastSequence = demand.sequence();
        borrower.lastDemandNanos = now;
        borrower.wanted.clear();
        for (SlotDemand.PoolDemand each : demand.pools()) {
            borrower.wanted.put(each.pool(), each.wanted());
        }
        List<WorkerSlots> refused = renew(borrower, demand, now);
        return allocate(borrower, refused, now);
    }

    /** Ends leases whose time has passed and returns the messages that become due. */
    public List<Outgoing> tick(long now) {
        return allocate(null, List.of(), now);
    }

    private BorrowerSession sessionOf(SlotDemand demand) {
        BorrowerSession known = borrowers.get(demand.from());
        if (known != null && known.boot.equals(demand.boot())) {
            return known;
        }
        if (known != null) {
            endSession(known);
        }
        BorrowerSession created = new BorrowerSession(demand.from(), demand.boot());
        borrowers.put(demand.from(), created);
        return created;
    }

    private void endSession(BorrowerSession borrower) {
        borrower.ended = true;
        borrowers.remove(borrower.daemon);
        endedBoots.add(borrower.boot);
        if (endedBoots.size() > MAX_ENDED_BOOTS) {
            endedBoots.remove(endedBoots.iterator().next());
        }
    }

    private List<WorkerSlots> renew(BorrowerSession borrower, SlotDemand demand, long now) {
        Map<WorkerId, Long> reported = new TreeMap<>();
        addMasks(reported, demand.held());
        addMasks(reported, demand.running());
        boolean sameProcess = demand.ownerBoot().equals(boot);
        long processed = sameProcess ? demand.lastAnswer() : 0;
        boolean renews = sameProcess && isGranting(now);
        for (WorkerLeases leases : workers.values()) {
            leases.expire(now);
            long mask = reported.getOrDefault(leases.worker, 0L);
            long renewed = renew(leases, borrower, mask, processed, renews && leases.serving, now);
            reported.computeIfPresent(leases.worker, (worker, bits) -> bits & ~renewed);
        }
        List<WorkerSlots> refused = new ArrayList<>();
        for (Map.Entry<WorkerId, Long> each : reported.entrySet()) {
            if (each.getValue() != 0) {
                refused.add(new WorkerSlots(each.getKey(), each.getValue()));
            }
        }
        return refused;
    }

    private long renew(
            WorkerLeases leases,
            BorrowerSession borrower,
            long reported,
            long processed,
            boolean renews,
            long now) {
        long renewed = 0;
        for (int i = 0; i < leases.slots.length; i++) {
            long bit = 1L << i;
            SlotLease slot = leases.slots[i];
            if (slot.holder != borrower) {
                continue;
            }
            boolean isReported = (reported & bit) != 0;
            if (isReported && renews) {
                slot.state = LeaseState.LEASED;
                slot.endNanos = now + timing.ownerLeaseNanos();
                renewed |= bit;
            }
            if (!isReported && slot.grantedInAnswer <= processed) {
                leases.free(slot);
            }
        }
        return renewed;
    }

    private List<Outgoing> allocate(BorrowerSession answered, List<WorkerSlots> refused, long now) {
        for (WorkerLeases leases : workers.values()) {
            leases.expire(now);
        }
        Map<PoolId, List<WorkerLeases>> pools = new TreeMap<>();
        for (WorkerLeases leases : workers.values()) {
            if (leases.serving) {
                pools.computeIfAbsent(leases.pool, pool -> new ArrayList<>()).add(leases);
            }
        }
        Map<BorrowerSession, List<SlotGrant.Added>> added = new HashMap<>();
        Map<BorrowerSession, Map<PoolId, Integer>> limits = new HashMap<>();
        List<SlotGrant.PoolShare> poolShares = new ArrayList<>();
        for (Map.Entry<PoolId, List<WorkerLeases>> each : pools.entrySet()) {
            SlotAllocation allocation = new SlotAllocation(each.getKey(), each.getValue(), timing);
            allocation.allocate(activeBorrowers(now), isGranting(now), now);
            allocation
                    .added()
                    .forEach((b, a) -> added.computeIfAbsent(b, k -> newList()).addAll(a));
            allocation.limits().forEach((b, n) -> putLimit(limits, b, each.getKey(), n));
            poolShares.add(allocation.poolShare());
        }
        List<Outgoing> out = new ArrayList<>();
        for (BorrowerSession borrower : borrowers.values()) {
            List<SlotGrant.Added> newGrants = added.getOrDefault(borrower, List.of());
            Map<PoolId, Integer> poolLimits = limits.getOrDefault(borrower, Map.of());
            Set<WorkerId> draining = draining(borrower);
            boolean isAnswer = borrower == answered;
            if (isAnswer || needsMessage(borrower, newGrants, poolLimits, draining, now)) {
                List<WorkerSlots> refusedSlots = isAnswer ? refused : List.of();
                out.add(
                        buildMessage(
                                borrower,
                                isAnswer,
                                newGrants,
                                refusedSlots,
                                poolShares,
                                poolLimits,
                                draining,
                                now));
            }
        }
        return out;
    }

    private Outgoing buildMessage(
            BorrowerSession borrower,
            boolean isAnswer,
            List<SlotGrant.Added> added,
            List<WorkerSlots> refused,
            List<SlotGrant.PoolShare> poolShares,
            Map<PoolId, Integer> limits,
            Set<WorkerId> draining,
            long now) {
        borrower.sentLimits.clear();
        borrower.sentLimits.putAll(limits);
        borrower.sentDraining = draining;
        borrower.lastSentNanos = now;
        borrower.lastAnswer++;
        for (SlotGrant.Added each : added) {
            WorkerLeases leases = workers.get(each.slots().worker());
            for (int i = 0; i < leases.slots.length; i++) {
                if ((each.slots().mask() & 1L << i) != 0) {
                    leases.slots[i].grantedInAnswer = borrower.lastAnswer;
                }
            }
        }
        List<SlotGrant.PoolShare> shares = new ArrayList<>();
        for (SlotGrant.PoolShare each : poolShares) {
            int limit = limits.getOrDefault(each.pool(), each.limit());
            boolean isWanted = borrower.wanted.containsKey(each.pool());
            if (isWanted || limit != SlotGrant.PoolShare.UNLIMITED) {
                shares.add(new SlotGrant.PoolShare(each.pool(), limit, each.free()));
            }
        }
        SlotGrant grant =
                new SlotGrant(
                        self,
                        boot,
                        borrower.boot,
                        borrower.lastAnswer,
                        borrower.lastSequence,
                        timing.lease(),
                        isAnswer && isGranting(now),
                        added,
                        refused,
                        shares,
                        List.copyOf(draining));
        return new Outgoing(borrower.daemon, grant);
    }

    /**
     * Returns whether a borrower is to be sent a message without a demand of its own: its slots,
     * limits or draining workers have changed, or it has expired slots and no message was exchanged
     * for a lease time. It answers each such message with a demand message, which reports whether
     * requests still run on the expired slots.
     */
    private boolean needsMessage(
            BorrowerSession borrower,
            List<SlotGrant.Added> added,
            Map<PoolId, Integer> limits,
            Set<WorkerId> draining,
            long now) {
        if (!added.isEmpty() || !limits.equals(borrower.sentLimits)) {
            return true;
        }
        if (!draining.equals(borrower.sentDraining)) {
            return true;
        }
        long latest = Math.max(borrower.lastSentNanos, borrower.lastDemandNanos);
        boolean noRecentMessage = now - latest >= timing.lease().toNanos();
        return noRecentMessage && workers.values().stream().anyMatch(w -> w.hasExpired(borrower));
    }

    private Set<WorkerId> draining(BorrowerSession borrower) {
        Set<WorkerId> draining = new TreeSet<>();
        for (WorkerLeases leases : workers.values()) {
            if (!leases.serving && leases.leasedTo(borrower) > 0) {
                draining.add(leases.worker);
            }
        }
        return draining;
    }

    private List<BorrowerSession> activeBorrowers(long now) {
        return borrowers.values().stream().filter(each -> isActive(each, now)).toList();
    }

    /**
     * Returns whether a lease granted now to the borrower, which is counted from its last demand
     * message, would still last for more than a renewal interval.
     */
    private boolean isActive(BorrowerSession borrower, long now) {
        long activeNanos = timing.lease().minus(timing.renewal()).toNanos();
        return now - borrower.lastDemandNanos < activeNanos;
    }

    private boolean isGranting(long now) {
        return !hasAuthorityEnd || now - authorityEndNanos < 0;
    }

    private static void addMasks(Map<WorkerId, Long> masks, List<WorkerSlots> slots) {
        for (WorkerSlots each : slots) {
            masks.merge(each.worker(), each.mask(), (a, b) -> a | b);
        }
    }

    private static void putLimit(
            Map<BorrowerSession, Map<PoolId, Integer>> limits,
            BorrowerSession to,
            PoolId pool,
            int limit) {
        limits.computeIfAbsent(to, key -> new TreeMap<>()).put(pool, limit);
    }

    private static List<SlotGrant.Added> newList() {
        return new ArrayList<>();
    }
}
