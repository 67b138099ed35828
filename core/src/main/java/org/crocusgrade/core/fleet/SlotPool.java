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
 * <p>Requests take and release slots on any thread, against an immutable snapshot and one atomic
 * reference for each slot. Everything else is called from one control thread: {@link #setWorkers},
 * {@link #setWanted}, {@link #onGrant} and {@link #tick}, which returns the statements that are
 * due.
 *
 * <p>A lease ends a lease time after the moment before the statement was sent to which the owner's
 * message refers, so it ends here before it ends at the owner (see {@link SlotTable}).
 */
public final class SlotPool {
    private final DaemonId self;
    private final BootId boot;
    private final AvailabilityZone zone;
    private final SlotLeaseTiming times;
    private final Map<DaemonId, OwnerLink> links = new TreeMap<>();
    private final Map<PoolId, Integer> wanted = new TreeMap<>();
    private final List<Slot> slots = new ArrayList<>();
    private long sequence;
    private volatile Map<WorkerId, Placement> placements = Map.of();
    private volatile Map<PoolId, Slot[]> snapshot = Map.of();

    /** Makes a pool without slots. */
    public SlotPool(DaemonId self, BootId boot, AvailabilityZone zone, SlotLeaseTiming times) {
        this.self = Objects.requireNonNull(self);
        this.boot = Objects.requireNonNull(boot);
        this.zone = Objects.requireNonNull(zone);
        this.times = Objects.requireNonNull(times);
    }

    /**
     * Where a worker is.
     *
     * @param worker the worker
     * @param zone its availability zone
     * @param pool the pool that it serves
     * @param owner the daemon that grants its slots
     * @param slots its slots
     * @param connections the connections that it accepts in all
     */
    public record Placement(
            WorkerId worker,
            AvailabilityZone zone,
            PoolId pool,
            DaemonId owner,
            int slots,
            int connections) {
        /** The connections that the owner keeps for its probes. */
        public static final int PROBE_CONNECTIONS = 2;

        /** Checks the fields. */
        public Placement {
            Objects.requireNonNull(worker);
            Objects.requireNonNull(zone);
            Objects.requireNonNull(pool);
            Objects.requireNonNull(owner);
            if (slots <= 0 || slots > WorkerSlots.MAX_SLOTS || connections <= PROBE_CONNECTIONS) {
                throw new IllegalArgumentException("sizes of a worker are out of bounds");
            }
        }

        int connectionsPerSlot() {
            return Math.max(1, (connections - PROBE_CONNECTIONS) / slots);
        }
    }

    /** A statement and the owner that it is for. */
    public record Outgoing(DaemonId to, SlotDemand demand) {}

    /**
     * Takes an idle slot of a pool, in this availability zone if there is one.
     *
     * @param fits which workers will do
     */
    public Optional<Slot> acquire(PoolId pool, Predicate<WorkerId> fits, long now) {
        Slot[] all = snapshot.get(pool);
        if (all == null || all.length == 0) {
            return Optional.empty();
        }
        int start = ThreadLocalRandom.current().nextInt(all.length);
        Optional<Slot> near = acquire(all, start, true, fits, now);
        return near.isPresent() ? near : acquire(all, start, false, fits, now);
    }

    private Optional<Slot> acquire(
            Slot[] all, int start, boolean near, Predicate<WorkerId> fits, long now) {
        for (int i = 0; i < all.length; i++) {
            Slot slot = all[(start + i) % all.length];
            if (slot.zone().equals(zone) != near || !slot.isIdle()) {
                continue;
            }
            if (fits.test(slot.worker()) && slot.take(now)) {
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** Gives a slot back to this pool when nothing runs on it any more. */
    public void release(Slot slot, long now) {
        if (!slot.finish(now)) {
            throw new IllegalStateException("slot released twice");
        }
    }

    /** Returns the idle slots of a pool that may be taken now. */
    public int idle(PoolId pool, long now) {
        int n = 0;
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            n += slot.isIdle() && !slot.isRecalled() && slot.isValid(now) ? 1 : 0;
        }
        return n;
    }

    /** Returns the slots of a pool on which requests run or may be started now. */
    public List<Slot> usable(PoolId pool, long now) {
        List<Slot> usable = new ArrayList<>();
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            if (!slot.isRecalled() && !slot.isReturned() && slot.isValid(now)) {
                usable.add(slot);
            }
        }
        return usable;
    }

    /** Returns the slots on which requests run, by worker. */
    public Map<WorkerId, Integer> running() {
        Map<WorkerId, Integer> running = new HashMap<>();
        for (Slot[] all : snapshot.values()) {
            for (Slot slot : all) {
                if (slot.isRunning()) {
                    running.merge(slot.worker(), 1, Integer::sum);
                }
            }
        }
        return running;
    }

    /** Returns the slots of a pool held, idle or running. */
    public int held(PoolId pool) {
        int n = 0;
        for (Slot slot : snapshot.getOrDefault(pool, new Slot[0])) {
            n += slot.isReturned() ? 0 : 1;
        }
        return n;
    }

    /** Returns whether the slot is one of this pool's. */
    boolean holds(Slot slot) {
        return slots.contains(slot);
    }

    /** Returns all slots. */
    List<Slot> slots() {
        return List.copyOf(slots);
    }

    /** Returns how many connections to a worker may be open, idle ones included. */
    public int connectionAllowance(WorkerId worker) {
        Placement placement = placements.get(worker);
        if (placement == null) {
            return 0;
        }
        int n = 0;
        for (Slot[] all : snapshot.values()) {
            for (Slot slot : all) {
                n += slot.worker().equals(worker) ? 1 : 0;
            }
        }
        return n * placement.connectionsPerSlot();
    }

    /** Takes the workers of the region with their owners. */
    public void setWorkers(List<Placement> workers) {
        Map<WorkerId, Placement> next = new HashMap<>();
        Set<DaemonId> owners = new HashSet<>();
        for (Placement each : workers) {
            next.put(each.worker(), each);
            owners.add(each.owner());
            links.computeIfAbsent(each.owner(), OwnerLink::new);
        }
        placements = Map.copyOf(next);
        for (Slot slot : slots) {
            Placement placement = placements.get(slot.worker());
            if (placement != null && !placement.owner().equals(slot.owner)) {
                slot.owner = placement.owner();
                slot.firstStated = 0;
            }
            if (placement == null || !placement.pool().equals(slot.pool())) {
                slot.recall(true);
            }
        }
        links.keySet().removeIf(each -> !owners.contains(each));
    }

    /** Sets how many slots of a pool this daemon wants in all, running requests included. */
    public void setWanted(PoolId pool, int slotCount) {
        wanted.put(pool, slotCount);
    }

    /** Takes an owner's message; returns whether it changed what can be acquired. */
    public boolean onGrant(SlotGrant grant, long now) {
        OwnerLink link = links.get(grant.owner());
        if (link == null || !grant.borrowerBoot().equals(boot) || !link.accept(grant)) {
            return false;
        }
        long sent = link.sentNanos(grant.replyTo());
        long end = sent + grant.leaseTime().toNanos();
        if (grant.renews()) {
            renew(grant, end);
        }
        boolean more = false;
        for (SlotGrant.Added each : grant.added()) {
            more |= add(grant.owner(), each, end, now);
        }
        Set<WorkerId> draining = new HashSet<>(grant.draining());
        for (Slot slot : slots) {
            if (slot.owner.equals(grant.owner()) && draining.contains(slot.worker())) {
                slot.recall(true);
            }
        }
        for (SlotGrant.PoolShare each : grant.pools()) {
            recallDownTo(grant.owner(), each.pool(), each.limit());
        }
        sweep(now);
        return more;
    }

    /**
     * Ends and returns leases, and returns the statements that are due. Each must be sent at once;
     * the time given must have been read before.
     */
    public List<Outgoing> tick(long now) {
        returnSurplus(now);
        sweep(now);
        Map<DaemonId, Map<PoolId, Integer>> asks = asks();
        List<Outgoing> out = new ArrayList<>();
        for (OwnerLink link : links.values()) {
            StatementBuilder statement = new StatementBuilder(asks.get(link.owner()));
            for (Slot slot : slots) {
                if (slot.owner.equals(link.owner())) {
                    statement.add(slot, now);
                }
            }
            if (!link.isDue(statement.asks(), statement.isEmpty(), times, now)) {
                continue;
            }
            sequence++;
            link.sending(sequence, statement.asks(), statement.isEmpty(), times, now);
            for (Slot slot : slots) {
                if (slot.owner.equals(link.owner()) && slot.firstStated == 0) {
                    slot.firstStated = sequence;
                }
            }
            SlotDemand demand = statement.build(self, boot, zone, sequence, link);
            out.add(new Outgoing(link.owner(), demand));
        }
        return out;
    }

    private void renew(SlotGrant grant, long end) {
        Map<WorkerId, Long> refused = new HashMap<>();
        for (WorkerSlots each : grant.refused()) {
            refused.put(each.worker(), each.mask());
        }
        for (Slot slot : slots) {
            boolean stated = slot.firstStated != 0 && slot.firstStated <= grant.replyTo();
            boolean not = (refused.getOrDefault(slot.worker(), 0L) & slot.bit()) != 0;
            if (slot.owner.equals(grant.owner()) && stated && !not) {
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

    private void recallDownTo(DaemonId owner, PoolId pool, int limit) {
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
            boolean lingered = now - slot.idleSinceNanos() >= times.linger().toNanos();
            int left = surplus.get(slot.pool());
            if (left > 0 && lingered && slot.giveBack()) {
                surplus.put(slot.pool(), left - 1);
            }
        }
    }

    private void sweep(long now) {
        for (Slot slot : slots) {
            if (!slot.isValid(now) || slot.isRecalled()) {
                slot.giveBack();
            }
        }
        for (Slot slot : slots) {
            OwnerLink link = links.get(slot.owner);
            if (slot.isReturned() && slot.isRecalled() && link != null) {
                link.hurry();
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
     * Returns what to ask of each owner: what is held there, with a part of what lacks in all, or
     * without a part of the idle slots that are too many.
     */
    private Map<DaemonId, Map<PoolId, Integer>> asks() {
        Map<DaemonId, Map<PoolId, Integer>> asks = new HashMap<>();
        Map<PoolId, Integer> held = new HashMap<>();
        Map<PoolId, Map<DaemonId, Integer>> idle = new HashMap<>();
        for (Slot slot : slots) {
            held.merge(slot.pool(), 1, Integer::sum);
            if (slot.isIdle()) {
                idle.computeIfAbsent(slot.pool(), pool -> new TreeMap<>())
                        .merge(slot.owner, 1, Integer::sum);
            }
            asks.computeIfAbsent(slot.owner, owner -> new TreeMap<>())
                    .merge(slot.pool(), 1, Integer::sum);
        }
        for (Map.Entry<PoolId, Integer> each : wanted.entrySet()) {
            int lacking = each.getValue() - held.getOrDefault(each.getKey(), 0);
            if (lacking <= 0) {
                continue;
            }
            Map<DaemonId, Integer> parts = parts(each.getKey(), lacking);
            parts.forEach(
                    (owner, part) ->
                            asks.computeIfAbsent(owner, key -> new TreeMap<>())
                                    .merge(each.getKey(), part, Integer::sum));
        }
        idle.forEach(
                (pool, owners) -> {
                    int surplus = held.get(pool) - wanted.getOrDefault(pool, 0);
                    FairShares.divide(owners, Math.max(0, surplus), 0)
                            .forEach((o, n) -> asks.get(o).merge(pool, -n, Integer::sum));
                });
        return asks;
    }

    /**
     * Divides what lacks over the owners, by what they said is free, or by their workers when
     * nothing is.
     */
    private Map<DaemonId, Integer> parts(PoolId pool, int lacking) {
        Map<DaemonId, Integer> capacity = new TreeMap<>();
        for (Placement each : placements.values()) {
            if (each.pool().equals(pool)) {
                capacity.merge(each.owner(), each.slots(), Integer::sum);
            }
        }
        Map<DaemonId, Integer> free = new TreeMap<>();
        for (DaemonId owner : capacity.keySet()) {
            int said = links.get(owner).free(pool);
            if (said > 0) {
                free.put(owner, said);
            }
        }
        Map<DaemonId, Integer> parts = new TreeMap<>(FairShares.divide(free, lacking, 0));
        int left = lacking - parts.values().stream().mapToInt(Integer::intValue).sum();
        Map<DaemonId, Integer> rest = FairShares.divide(capacity, left, self.hashCode());
        rest.forEach((owner, part) -> parts.merge(owner, part, Integer::sum));
        parts.values().removeIf(part -> part == 0);
        return parts;
    }
}
