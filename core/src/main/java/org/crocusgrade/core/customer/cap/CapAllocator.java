package org.crocusgrade.core.customer.cap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.customer.ResourceCap;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.Resources;

/**
 * Divides the resource caps of customers over the pools, on behalf of the holder of the fleet duty.
 * Not thread-safe; one instance for each ownership of the duty.
 *
 * <p>Idea: for each ownership of a pool it counts the most that the owner may have running, which
 * is the largest of the reported running amount, the reported limit, and all grants sent since the
 * one that the report reflects. The sum over all ownerships stays within the cap. So a raised grant
 * counts when it is sent, a lowered one only when a report reflects it. Worked case, cap 100: pool
 * A has the limit 60 and B 40. A grant of 30 is sent to A, and 70 to B only once a report of A
 * reflects the grant; if A's report had crossed it, A might still start tasks up to 60.
 *
 * <p>A new allocator knows nothing of the grants of its predecessor. It names the customers in a
 * first grant without amounts, which leaves the limits in force and makes the owners reject the
 * predecessor. It gives a customer amounts once a settled owner of every configured pool has
 * reflected such a grant.
 */
public final class CapAllocator {
    /** The amount granted of processors or memory that the cap does not limit. */
    public static final long UNLIMITED = 1L << 50;

    /** Interval at which grants are repeated until a report reflects them, in nanoseconds. */
    private static final long REPEAT_NANOS = 300_000_000L;

    /**
     * Time without a report after which a pool's amount is left as it is, in nanoseconds: a grant
     * would not reach its owner, and room given to it could not be taken back.
     */
    private static final long SILENT_NANOS = 1_500_000_000L;

    /**
     * How long the amount of a pool that was removed from the configuration is still counted, in
     * nanoseconds; longer than any lease of its runs lasts.
     */
    private static final long GONE_NANOS = 60_000_000_000L;

    /**
     * How long a customer may be at half of its cap or less while its tasks wait for room, before
     * the room is given to one pool at a time, in nanoseconds.
     */
    private static final long SPLIT_NANOS = 600_000_000L;

    /** How long one pool is favoured, in nanoseconds: room moves within about 0.4 s. */
    private static final long FAVOUR_NANOS = 1_200_000_000L;

    /** Changes below this part of the cap are not sent, to keep the traffic low. */
    private static final long MIN_CHANGE_PARTS = 64;

    private static final int ACCELERATORS = 2;

    private final long token;
    private final Map<ServiceId, PoolAccount> pools = new TreeMap<>();
    private final Map<CustomerId, ResourceCap> caps = new TreeMap<>();
    private final Map<CustomerId, Long> addedSequences = new HashMap<>();
    private final Map<CustomerId, Long> splitSinceNanos = new HashMap<>();
    private long sequence;
    private boolean superseded;

    /**
     * Makes an allocator that knows no pool.
     *
     * @param token the fencing token of the fleet duty's ownership
     */
    public CapAllocator(long token) {
        this.token = token;
    }

    /**
     * Sets the configuration in force.
     *
     * @param configured the pools that should have an owner
     * @param limited the customers with a cap
     * @param now the monotonic time, in nanoseconds
     */
    public void configure(
            Set<ServiceId> configured, Map<CustomerId, ResourceCap> limited, long now) {
        configured.forEach(p -> pools.computeIfAbsent(p, PoolAccount::new));
        for (PoolAccount account : pools.values()) {
            account.setConfigured(configured.contains(account.pool()), now);
        }
        for (CustomerId customer : List.copyOf(caps.keySet())) {
            if (!limited.containsKey(customer)) {
                caps.remove(customer);
                addedSequences.remove(customer);
                splitSinceNanos.remove(customer);
                pools.values().forEach(p -> p.forget(customer));
            }
        }
        limited.forEach(
                (customer, cap) -> {
                    caps.put(customer, cap);
                    addedSequences.putIfAbsent(customer, sequence);
                });
    }

    /** Processes a report of a pool's owner; returns false if it is not used. */
    public boolean onReport(CapReport report, long now) {
        superseded |= report.grantToken() > token;
        return account(report.pool(), now).onReport(report, token, addedSequences, now);
    }

    /**
     * Records that the owner of a pool is alive, on a message that says nothing of customers.
     *
     * @param ownerToken the fencing token of the owner
     */
    public void onOwner(ServiceId pool, long ownerToken, long now) {
        account(pool, now).onOwner(ownerToken, addedSequences.keySet(), now);
    }

    private PoolAccount account(ServiceId pool, long now) {
        PoolAccount account = pools.get(pool);
        if (account == null) {
            account = new PoolAccount(pool);
            account.setConfigured(false, now);
            pools.put(pool, account);
        }
        return account;
    }

    /** Returns whether a report has shown that another holder grants. */
    public boolean isSuperseded() {
        return superseded;
    }

    /** Returns the grants to send now. */
    public List<Addressed> round(long now) {
        if (superseded) {
            return List.of();
        }
        pools.values().removeIf(p -> p.isGone(GONE_NANOS, now));
        List<PoolAccount> receivers = new ArrayList<>();
        for (PoolAccount account : pools.values()) {
            if (account.isConfigured() && account.isReporting(SILENT_NANOS, now)) {
                receivers.add(account);
            }
        }
        List<Map<CustomerId, Optional<Resources>>> limits = new ArrayList<>();
        receivers.forEach(r -> limits.add(new HashMap<>()));
        caps.forEach(
                (customer, cap) -> {
                    List<Optional<Resources>> amounts = amounts(customer, cap, receivers, now);
                    for (int i = 0; i < receivers.size(); i++) {
                        limits.get(i).put(customer, amounts.get(i));
                    }
                });
        List<Addressed> grants = new ArrayList<>();
        for (int i = 0; i < receivers.size(); i++) {
            grant(receivers.get(i), limits.get(i), now).ifPresent(grants::add);
        }
        return grants;
    }

    private Optional<Addressed> grant(
            PoolAccount account, Map<CustomerId, Optional<Resources>> limits, long now) {
        Optional<CapGrant> last = account.lastSent();
        boolean needed = last.isPresent() || !limits.isEmpty() || account.hasUsage();
        boolean changed = needed && !last.map(CapGrant::limits).equals(Optional.of(limits));
        if (changed && account.acceptsGrant()) {
            CapGrant next = new CapGrant(token, ++sequence, account.ownerToken(), limits);
            account.recordGrant(next, now);
            return Optional.of(new Addressed(account.pool(), next));
        }
        if (!account.isRepeatDue(REPEAT_NANOS, now)) {
            return Optional.empty();
        }
        account.recordRepeat(now);
        return last.map(g -> new Addressed(account.pool(), g));
    }

    /** Returns the limit of a customer for each receiver; empty leaves the one in force. */
    private List<Optional<Resources>> amounts(
            CustomerId customer, ResourceCap cap, List<PoolAccount> receivers, long now) {
        if (!isKnownEverywhere(customer) || receivers.isEmpty()) {
            return receivers.stream().map(r -> Optional.<Resources>empty()).toList();
        }
        Shares shares = new Shares(customer, Amounts.of(cap), receivers);
        if (shares.suffice()) {
            splitSinceNanos.remove(customer);
            return receivers.stream().map(r -> Optional.of(r.lastLimit(customer))).toList();
        }
        shares.divide(favoured(customer, shares, now));
        return shares.limits();
    }

    private boolean isKnownEverywhere(CustomerId customer) {
        for (PoolAccount account : pools.values()) {
            if (account.isConfigured() && !account.isKnown(customer)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the index of the pool that gets all room: equal parts can be too small for a task, so
     * that none starts although the customer is far below its cap.
     */
    private Optional<Integer> favoured(CustomerId customer, Shares shares, long now) {
        if (!shares.isContendedBelowHalf()) {
            splitSinceNanos.remove(customer);
            return Optional.empty();
        }
        long waited = now - splitSinceNanos.computeIfAbsent(customer, c -> now);
        List<Integer> wanting = shares.wanting();
        if (waited < SPLIT_NANOS || wanting.isEmpty()) {
            return Optional.empty();
        }
        long turn = (waited - SPLIT_NANOS) / FAVOUR_NANOS;
        return Optional.of(wanting.get((int) (turn % wanting.size())));
    }

    /** Returns the cap of a customer, if it has one. */
    public Optional<ResourceCap> cap(CustomerId customer) {
        return Optional.ofNullable(caps.get(customer));
    }

    /** Returns what the owner of a pool last reported of a customer. */
    public CapUsage usage(ServiceId pool, CustomerId customer) {
        PoolAccount account = pools.get(pool);
        return account == null ? CapUsage.NONE : account.usage(customer);
    }

    /**
     * A grant to send to the owner of a pool.
     *
     * @param pool the pool
     * @param grant the grant
     */
    public record Addressed(ServiceId pool, CapGrant grant) {}

    /** The amounts of one customer in the pools that can receive grants now, by kind and pool. */
    private final class Shares {
        private final CustomerId customer;
        private final List<PoolAccount> receivers;
        private final int n;
        private final long[] cap;
        private final long[] available = new long[Amounts.KINDS];
        private final long[][] running;
        private final long[][] wanted;
        private final long[][] counted;
        private final long[][] last;
        private final long[][] targets;

        Shares(CustomerId customer, long[] cap, List<PoolAccount> receivers) {
            this.customer = customer;
            this.cap = cap;
            this.receivers = receivers;
            n = receivers.size();
            running = new long[Amounts.KINDS][n];
            wanted = new long[Amounts.KINDS][n];
            counted = new long[Amounts.KINDS][n];
            last = new long[Amounts.KINDS][n];
            targets = new long[Amounts.KINDS][];
            for (int i = 0; i < n; i++) {
                CapUsage usage = receivers.get(i).usage(customer);
                put(running, i, Amounts.of(usage.running()));
                put(wanted, i, Amounts.of(usage.wanted()));
                put(counted, i, receivers.get(i).counted(customer));
                put(last, i, Amounts.of(receivers.get(i).lastLimit(customer)));
            }
            for (int k = 0; k < Amounts.KINDS; k++) {
                available[k] = cap[k];
                for (PoolAccount account : pools.values()) {
                    available[k] -= account.former(customer)[k];
                    if (!receivers.contains(account)) {
                        available[k] -= account.counted(customer)[k];
                    }
                }
            }
        }

        private void put(long[][] byKind, int i, long[] amounts) {
            for (int k = 0; k < Amounts.KINDS; k++) {
                byKind[k][i] = amounts[k];
            }
        }

        private long rest(int k) {
            return available[k] - sum(running[k]) - sum(wanted[k]);
        }

        private boolean exceeds(int k) {
            return sum(counted[k]) > available[k];
        }

        /**
         * Returns whether the limits in force serve all pools, with at least half of the reserve
         * that a new division would give. They are kept then, to save messages.
         */
        boolean suffice() {
            for (int k = 0; k < Amounts.KINDS; k++) {
                if (cap[k] == 0) {
                    for (long limit : last[k]) {
                        if (limit < unlimited(k)) {
                            return false;
                        }
                    }
                    continue;
                }
                long rest = rest(k);
                if (rest < 0 || exceeds(k)) {
                    return false;
                }
                for (int i = 0; i < n; i++) {
                    if (last[k][i] < running[k][i] + wanted[k][i] + rest / (2L * n)) {
                        return false;
                    }
                }
            }
            return true;
        }

        boolean isContendedBelowHalf() {
            boolean contended = false;
            for (int k = 0; k < Amounts.KINDS; k++) {
                if (cap[k] > 0) {
                    contended |= rest(k) < 0;
                    if (sum(running[k]) > cap[k] / 2) {
                        return false;
                    }
                }
            }
            return contended;
        }

        List<Integer> wanting() {
            List<Integer> found = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                if (wanted[0][i] + wanted[1][i] + wanted[2][i] > 0) {
                    found.add(i);
                }
            }
            return found;
        }

        void divide(Optional<Integer> favoured) {
            for (int k = 0; k < Amounts.KINDS; k++) {
                if (cap[k] == 0) {
                    targets[k] = new long[n];
                    Arrays.fill(targets[k], unlimited(k));
                    continue;
                }
                if (favoured.isPresent() && sum(running[k]) <= available[k]) {
                    targets[k] =
                            CapDivision.concentrate(
                                    available[k], running[k], wanted[k], favoured.get());
                } else {
                    targets[k] = CapDivision.divide(cap[k], available[k], running[k], wanted[k]);
                }
                CapDivision.limitRaises(available[k] - sum(counted[k]), counted[k], targets[k]);
                if (exceeds(k)) {
                    holdRaises(k);
                }
            }
        }

        /**
         * Raises no limit while more is counted than available. A pool's counted amount may be a
         * running amount above its limit; a limit up to that would let ended tasks be replaced.
         */
        private void holdRaises(int k) {
            for (int i = 0; i < n; i++) {
                targets[k][i] = Math.min(targets[k][i], last[k][i]);
            }
        }

        List<Optional<Resources>> limits() {
            List<Optional<Resources>> limits = new ArrayList<>(n);
            for (int i = 0; i < n; i++) {
                long[] amounts = new long[Amounts.KINDS];
                boolean changed = false;
                for (int k = 0; k < Amounts.KINDS; k++) {
                    amounts[k] = targets[k][i];
                    long least = k == ACCELERATORS ? 0 : cap[k] / MIN_CHANGE_PARTS;
                    boolean large = Math.abs(amounts[k] - last[k][i]) > least;
                    changed |= large || cap[k] > 0 && exceeds(k);
                }
                limits.add(
                        Optional.of(
                                changed
                                        ? Amounts.resources(amounts)
                                        : receivers.get(i).lastLimit(customer)));
            }
            return limits;
        }

        private static long unlimited(int k) {
            return k == ACCELERATORS ? Integer.MAX_VALUE : UNLIMITED;
        }

        private static long sum(long[] amounts) {
            long sum = 0;
            for (long amount : amounts) {
                sum += amount;
            }
            return sum;
        }
    }
}
