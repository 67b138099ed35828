package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * The borrower's side of slot leases: the slots that this daemon may use, from all owners.
 *
 * <p>Requests acquire and release slots on any thread, against an immutable snapshot and one atomic
 * reference for each slot. All other methods that change the pool are called from one control
 * thread: {@link #setWorkers}, {@link #setWanted}, {@link #onGrant} and {@link #tick}, which
 * returns the demand messages that are due.
 *
 * <p>A lease is counted from a moment before the demand message was sent that the owner's message
 * refers to, so it ends here before it ends at the owner (see {@link SlotTable}).
 */
public final class SlotPool {
    private final DaemonId self;
    private final BootId boot;
    private final AvailabilityZone zone;
    private final SlotLeaseTiming timing;
    private final Map<DaemonId, OwnerSession> ownerSessions = new TreeMap<>();
    private final Map<PoolId, Integer> wanted = new TreeMap<>();
    private final List<Slot> slots = new ArrayList<>();
    private long sequence;
    private volatile Map<WorkerId, Placement> placements = Map.of();
    private volatile Map<PoolId, Slot[]> snapshot = Map.of();

    /** Creates a pool without slots. */
    public SlotPool(DaemonId self, BootId boot, AvailabilityZone zone, SlotLeaseTiming timing) {
        this.self = Objects.requireNonNull(self);
        this.boot = Objects.requireNonNull(boot);
        this.zone = Objects.requireNonNull(zone);
        this.timing = Objects.requireNonNull(timing);
    }

    /**
     * A worker's pool, owner and capacity.
     *
     * @param worker the worker
     * @param zone its availability zone
     * @param pool the pool that it serves
     * @param owner the daemon that grants its slots
     * @param slots the number of its slots
     * @param connections the number of connections that it accepts from all daemons together
     */
    public record Placement(
            WorkerId worker,
            AvailabilityZone zone,
            PoolId pool,
            DaemonId owner,
            int slots,
            int connections) {
        /** The connections that are reserved for the owner's probes. */
        public static final int PROBE_CONNECTIONS = 2;

        /** Checks the fields. */
        public Placement {
            Objects.requireNonNull(worker);
            Objects.requireNonNull(zone);
            Objects.requireNonNull(pool);
            Objects.requireNonNull(owner);
            if (slots <= 0 || slots > WorkerSlots.MAX_SLOTS || connections <= PROBE_CONNECTIONS) {
                throw new IllegalArgumentException(
                        "slots must be in 1..MAX_SLOTS, connections above PROBE_CONNECTIONS");
            }
        }

        int connectionsPerSlot() {
            return Math.max(1, (connections - PROBE_CONNECTIONS) / slots);
        }
    }

    /** A demand message and the owner that it is for. */
    public record Outgoing(DaemonId to, SlotDemand demand) {}

    /**
     * Acquires an idle slot of a pool, in this daemon's availability zone if there is one.
     *
     * @param eligible which workers may be used
     */
    public Optional<Slot> acquire(PoolId pool, Predicate<WorkerId> eligible, long now) {
        Slot[] candidates = snapshot.get(pool);
        if (candidates == null || candidates.length == 0) {
            return Optional.empty();
        }
        int start = ThreadLocalRandom.current().nextInt(candidates.length);
        Optional<Slot> sameZone = acquire(candidates, start, true, eligible, now);
        return sameZone.isPresent() ? sameZone : acquire(candidates, start, false, eligible, now);
    }

    private Optional<Slot> acquire(
            Slot[] candidates,
            int start,
            boolean sameZone,
            Predicate<WorkerId> eligible,
            long now) {
        for (int i = 0; i < candidates.length; i++) {
            Slot slot = candidates[(start + i) % candidates.length];
            if (slot.zone().equals(zone) != sameZone || !slot.isIdle()) {
                continue;
            }
            if (eligible.test(slot.worker()) && slot.tryTake(now)) {
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** Returns a slot to this pool after its request has ended. */
    public void release(Slot slot, long now) {
        if (!slot.finish(now)) {
            throw new IllegalStateException("released slot has no running request");
        }
    }

    /** Returns the number of idle slots of a pool that can be acquired now. */
    public int idle(PoolId pool, long now) {
        int n = 0;
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            n += slot.isIdle() && !slot.isRecalled() && slot.isValid(now) ? 1 : 0;
        }
        return n;
    }

    /**
     * Returns the slots of a pool on which requests may run or start now: held, not recalled, and
     * with a lease that has not ended.
     */
    public List<Slot> usable(PoolId pool, long now) {
        List<Slot> usable = new ArrayList<>();
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            if (!slot.isRecalled() && !slot.isReturned() && slot.isValid(now)) {
                usable.add(slot);
            }
        }
        return usable;
    }

    /** Returns the number of slots on which requests run, by worker. */
    public Map<WorkerId, Integer> running() {
        Map<WorkerId, Integer> running = new HashMap<>();
        for (Slot[] poolSlots : snapshot.values()) {
            for (Slot slot : poolSlots) {
                if (slot.isRunning()) {
                    running.merge(slot.worker(), 1, Integer::sum);
                }
            }
        }
        return running;
    }

    /** Returns the number of slots of a pool that are held, idle or running. */
    public int held(PoolId pool) {
        int n = 0;
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            n += slot.isReturned() ? 0 : 1;
        }
        return n;
    }

    boolean contains(Slot slot) {
        return slots.contains(slot);
    }

    List<Slot> slots() {
        return List.copyOf(slots);
    }

    /**
     * Returns how many connections to a worker this daemon may have open, idle ones included; 0 for
     * an unknown worker.
     */
    public int connectionAllowance(WorkerId worker) {
        Placement placement = placements.get(worker);
        if (placement == null) {
            return 0;
        }
        int n = 0;
        for (Slot[] poolSlots : snapshot.values()) {
            for (Slot slot : poolSlots) {
                n += slot.worker().equals(worker) ? 1 : 0;
            }
        }
        return n * placement.connectionsPerSlot();
    }

    /**
     * Sets the workers of the region with their owners. Slots of workers that are absent or have
     * changed their pool are recalled; slots whose worker has another owner count as not yet
     * reported to it.
     */
    public void setWorkers(List<Placement> workers) {
        Map<WorkerId, Placement> next = new HashMap<>();
        Set<DaemonId> owners = new HashSet<>();
        for (Placement each : workers) {
            next.put(each.worker(), each);
            owners.add(each.owner());
            ownerSessions.computeIfAbsent(each.owner(), OwnerSession::new);
        }
        placements = Map.copyOf(next);
        for (Slot slot : slots) {
            Placement placement = placements.get(slot.worker());
            if (placement != null && !placement.owner().equals(slot.owner)) {
                slot.owner = placement.owner();
                slot.firstSequence = 0;
            }
            if (placement == null || !placement.pool().equals(slot.pool())) {
                slot.recall(true);
            }
        }
        ownerSessions.keySet().removeIf(each -> !owners.contains(each));
    }

    /**
     * Sets how many slots of a pool this daemon wants in total, including those with running
     * requests.
     */
    public void setWanted(PoolId pool, int slotCount) {
        wanted.put(pool, slotCount);
    }

    /** Applies an owner's message; returns whether it added slots. */
    public boolean onGrant(SlotGrant grant, long now) {
        OwnerSession session = ownerSessions.get(grant.owner());
        if (session == null || !grant.borrowerBoot().equals(boot) || !session.accept(grant)) {
            return false;
        }
        long sent = session.sentNanos(grant.replyTo());
        long end = sent + grant.leaseTime().toNanos();
        if (grant.renews()) {
            renew(grant, end);
        }
        boolean hasNewSlots = false;
        for (SlotGrant.Added each : grant.added()) {
            hasNewSlots |= add(grant.owner(), each, end, now);
        }
        Set<WorkerId> draining = new HashSet<>(grant.draining());
        for (Slot slot : slots) {
            if (slot.owner.equals(grant.owner()) && draining.contains(slot.worker())) {
                slot.recall(true);
            }
        }
        for (SlotGrant.PoolShare each : grant.pools()) {
            recallExcess(grant.owner(), each.pool(), each.limit());
        }
        removeReturned(now);
        return hasNewSlots;
    }

    /**
     * Returns idle slots that have expired, are recalled or are no longer wanted, and creates the
     * demand messages that are due.
     *
     * @param now a time read before the messages are sent, from which leases are counted; the
     *     messages must be sent immediately
     */
    public List<Outgoing> tick(long now) {
        returnSurplus(now);
        removeReturned(now);
        Map<DaemonId, Map<PoolId, Integer>> requested = requested();
        List<Outgoing> out = new ArrayList<>();
        for (OwnerSession session : ownerSessions.values()) {
            SlotDemandBuilder builder = new SlotDemandBuilder(requested.get(session.owner()));
            for (Slot slot : slots) {
                if (slot.owner.equals(session.owner())) {
                    builder.add(slot, now);
                }
            }
            if (!session.isDue(builder.requested(), builder.isEmpty(), timing, now)) {
                continue;
            }
            sequence++;
            session.recordSent(sequence, builder.requested(), builder.isEmpty(), timing, now);
            for (Slot slot : slots) {
                if (slot.owner.equals(session.owner()) && slot.firstSequence == 0) {
                    slot.firstSequence = sequence;
                }
            }
            SlotDemand demand = builder.build(self, boot, zone, sequence, session);
            out.add(new Outgoing(session.owner(), demand));
        }
        return out;
    }

    private void renew(SlotGrant grant, long end) {
        Map<WorkerId, Long> refused = new HashMap<>();
        for (WorkerSlots each : grant.refused()) {
            refused.put(each.worker(), each.mask());
        }
        for (Slot slot : slots) {
            boolean isReported = slot.firstSequence != 0 && slot.firstSequence <= grant.replyTo();
            boolean isRefused = (refused.getOrDefault(slot.worker(), 0L) & slot.bit()) != 0;
            if (slot.owner.equals(grant.owner()) && isReported && !isRefused) {
                slot.renew(end);
            }
        }
    }

    private boolean add(DaemonId owner, SlotGrant.Added added, long end, long now) {
        WorkerId worker = added.slots().worker();
        Placement placement = placements.get(worker);
        if (placement == null || !placement.owner().equals(owner) || now - end >= 0) {
            return false;
        }
        for (int i = 0; i < WorkerSlots.MAX_SLOTS; i++) {
            if ((added.slots().mask() & 1L << i) == 0) {
                continue;
            }
            Slot slot = new Slot(owner, worker, added.pool(), placement.zone(), i);
            slot.renew(end);
            slot.touch(now);
            slots.add(slot);
        }
        return true;
    }

    private void recallExcess(DaemonId owner, PoolId pool, int limit) {
        List<Slot> held = new ArrayList<>();
        for (Slot slot : slots) {
            if (slot.owner.equals(owner) && slot.pool().equals(pool) && !slot.isRecalled()) {
                held.add(slot);
            }
        }
        held.sort((a, b) -> Boolean.compare(a.isRunning(), b.isRunning()));
        int excess = limit == SlotGrant.PoolShare.UNLIMITED ? 0 : held.size() - limit;
        for (int i = 0; i < excess; i++) {
            held.get(i).recall(true);
        }
    }

    private void returnSurplus(long now) {
        Map<PoolId, Integer> surplus = new HashMap<>();
        for (Slot slot : slots) {
            surplus.merge(slot.pool(), 1, Integer::sum);
        }
        surplus.replaceAll((pool, held) -> held - wanted.getOrDefault(pool, 0));
        for (Slot slot : slots) {
            boolean idleTooLong = now - slot.idleSinceNanos() >= timing.idleTimeout().toNanos();
            int remaining = surplus.get(slot.pool());
            if (remaining > 0 && idleTooLong && slot.returnIfIdle()) {
                surplus.put(slot.pool(), remaining - 1);
            }
        }
    }

    /**
     * Returns idle slots that are recalled or whose leases have ended, removes all returned slots,
     * and publishes the remaining ones as the new snapshot. The owners of recalled slots that were
     * returned get a demand message immediately, because other borrowers wait for them.
     */
    private void removeReturned(long now) {
        for (Slot slot : slots) {
            if (!slot.isValid(now) || slot.isRecalled()) {
                slot.returnIfIdle();
            }
        }
        for (Slot slot : slots) {
            OwnerSession session = ownerSessions.get(slot.owner);
            if (slot.isReturned() && slot.isRecalled() && session != null) {
                session.makeDue();
            }
        }
        slots.removeIf(Slot::isReturned);
        Map<PoolId, List<Slot>> byPool = new HashMap<>();
        for (Slot slot : slots) {
            byPool.computeIfAbsent(slot.pool(), pool -> new ArrayList<>()).add(slot);
        }
        Map<PoolId, Slot[]> next = new HashMap<>();
        byPool.forEach((pool, list) -> next.put(pool, list.toArray(new Slot[0])));
        snapshot = Map.copyOf(next);
    }

    /**
     * Returns the slots to request from each owner: those held there, plus a share of the total
     * shortfall, or minus a share of the idle slots in excess of the demand.
     */
    private Map<DaemonId, Map<PoolId, Integer>> requested() {
        Map<DaemonId, Map<PoolId, Integer>> requested = new HashMap<>();
        Map<PoolId, Integer> held = new HashMap<>();
        Map<PoolId, Map<DaemonId, Integer>> idle = new HashMap<>();
        for (Slot slot : slots) {
            held.merge(slot.pool(), 1, Integer::sum);
            if (slot.isIdle()) {
                idle.computeIfAbsent(slot.pool(), pool -> new TreeMap<>())
                        .merge(slot.owner, 1, Integer::sum);
            }
            requested
                    .computeIfAbsent(slot.owner, owner -> new TreeMap<>())
                    .merge(slot.pool(), 1, Integer::sum);
        }
        for (Map.Entry<PoolId, Integer> each : wanted.entrySet()) {
            int shortfall = each.getValue() - held.getOrDefault(each.getKey(), 0);
            if (shortfall <= 0) {
                continue;
            }
            Map<DaemonId, Integer> shares = divideShortfall(each.getKey(), shortfall);
            shares.forEach(
                    (owner, share) ->
                            requested
                                    .computeIfAbsent(owner, key -> new TreeMap<>())
                                    .merge(each.getKey(), share, Integer::sum));
        }
        idle.forEach(
                (pool, owners) -> {
                    int surplus = held.get(pool) - wanted.getOrDefault(pool, 0);
                    FairShares.divide(owners, Math.max(0, surplus), 0)
                            .forEach((o, n) -> requested.get(o).merge(pool, -n, Integer::sum));
                });
        return requested;
    }

    /**
     * Divides the shortfall of a pool over the owners, first by the free slots that they reported,
     * then the remainder by the slots of their workers.
     */
    private Map<DaemonId, Integer> divideShortfall(PoolId pool, int shortfall) {
        Map<DaemonId, Integer> capacity = new TreeMap<>();
        for (Placement each : placements.values()) {
            if (each.pool().equals(pool)) {
                capacity.merge(each.owner(), each.slots(), Integer::sum);
            }
        }
        Map<DaemonId, Integer> free = new TreeMap<>();
        for (DaemonId owner : capacity.keySet()) {
            int reported = ownerSessions.get(owner).free(pool);
            if (reported > 0) {
                free.put(owner, reported);
            }
        }
        Map<DaemonId, Integer> shares = new TreeMap<>(FairShares.divide(free, shortfall, 0));
        int remaining = shortfall - shares.values().stream().mapToInt(Integer::intValue).sum();
        Map<DaemonId, Integer> remainder = FairShares.divide(capacity, remaining, self.hashCode());
        remainder.forEach((owner, share) -> shares.merge(owner, share, Integer::sum));
        shares.values().removeIf(share -> share == 0);
        return shares;
    }
}
