package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;

/**
 * Finds the customers that use more than their share of a pool while tasks wait for capacity.
 *
 * <p>Load: one customer sends several times its usual rate and fills the pool with small
 * submissions, which come first by their remaining work. The use of a customer is its dominant
 * share: the larger of its fractions of the processors and of the memory that serve batch work. The
 * pool is divided among the customers that use or want capacity by weighted max-min: none gets more
 * than it wants, and what that leaves goes to the others by their weights. Example: with weights of
 * 1, 1 and 2 and wants of 0.1, 0.9 and 0.9 of the pool, the shares are 0.1, 0.3 and 0.6.
 *
 * <p>A customer is above its share if its present use exceeds it, or its recent use, which is a
 * decaying mean over the time in which tasks waited. Capacity used while nobody else wanted it is
 * therefore not held against a customer later.
 */
final class CustomerShares {
    /** A surge lasts for about 5 s; use within it counts, use in the surge before does not. */
    private static final double MEMORY_NANOS = 2e9;

    private static final long REPORT_INTERVAL_NANOS = 1_000_000_000L;
    private static final double ROUNDING = 1e-9;
    private static final double MILLI_CORES_PER_CORE = 1000;

    private final Map<CustomerId, Usage> usages = new HashMap<>();
    private final List<ShareChange> changes = new ArrayList<>();
    private long updatedNanos = Long.MIN_VALUE;

    /** Returns whether a customer uses more than its share while tasks wait for capacity. */
    boolean isAbove(Optional<CustomerId> customer) {
        if (customer.isEmpty() || usages.isEmpty()) {
            return false;
        }
        Usage usage = usages.get(customer.get());
        return usage != null && usage.above;
    }

    /** Returns the changes since the last call: at most one a second for each customer. */
    List<ShareChange> takeChanges() {
        List<ShareChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Measures the use again, in one pass over the active submissions and one over the runs. */
    void update(PoolState pool, CustomerDirectory customers, long now, Instant wall) {
        if (!customers.isEnabled()) {
            usages.clear();
            return;
        }
        usages.values().forEach(Usage::reset);
        Resources wanted = addWants(pool, wall);
        addRuns(pool);
        BatchCapacity capacity = pool.batchCapacity(now);
        boolean contended = dominantShare(wanted, capacity) > 1;
        double decay = updatedNanos == Long.MIN_VALUE ? 0 : decay(now - updatedNanos);
        updatedNanos = now;
        for (Usage usage : usages.values()) {
            usage.measure(capacity, contended, decay);
        }
        usages.values().removeIf(Usage::isForgotten);
        List<Map.Entry<CustomerId, Usage>> entries = new ArrayList<>(usages.entrySet());
        double[] weights =
                entries.stream().mapToDouble(e -> weight(customers, e.getKey())).toArray();
        double[] wants = entries.stream().mapToDouble(e -> e.getValue().want).toArray();
        double[] allocations = allocate(weights, wants, 1);
        for (int i = 0; i < allocations.length; i++) {
            Usage usage = entries.get(i).getValue();
            double used = Math.max(usage.use, usage.recent);
            usage.above = contended && used > allocations[i] + ROUNDING;
            report(entries.get(i).getKey(), usage, allocations[i], now);
        }
    }

    /**
     * Divides a capacity by weighted max-min: raises the ratio of allocation to weight for all at
     * once, each until it has what it wants, until the capacity is used up.
     *
     * @param weights above 0
     * @param wants the most that each can use, 0 or more
     */
    static double[] allocate(double[] weights, double[] wants, double capacity) {
        Integer[] order = new Integer[wants.length];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, Comparator.comparingDouble(i -> wants[i] / weights[i]));
        double weightLeft = Arrays.stream(weights).sum();
        double left = capacity;
        double[] allocations = new double[wants.length];
        for (int i : order) {
            allocations[i] = Math.min(wants[i], left * weights[i] / weightLeft);
            left -= allocations[i];
            weightLeft -= weights[i];
        }
        return allocations;
    }

    /** Adds what each customer's ready steps want or use; returns the sum over all submissions. */
    private Resources addWants(PoolState pool, Instant wall) {
        Resources sum = Resources.NONE;
        for (TrackedSubmission submission : pool.active()) {
            if (submission.spec().isLongRunning()) {
                continue;
            }
            Resources wanted = Resources.NONE;
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                wanted = wanted.plus(step.spec().reserved().times(step.remaining()));
            }
            sum = sum.plus(wanted);
            if (submission.customer().isPresent()) {
                Usage usage = usage(submission.customer().get());
                usage.wanted = usage.wanted.plus(wanted);
            }
        }
        return sum;
    }

    private void addRuns(PoolState pool) {
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                StepSpec spec = placement.task().step().spec();
                Optional<CustomerId> customer = placement.task().step().submission().customer();
                if (!spec.longRunning() && customer.isPresent()) {
                    Usage usage = usage(customer.get());
                    usage.used = usage.used.plus(spec.reserved());
                }
            }
        }
    }

    private Usage usage(CustomerId customer) {
        return usages.computeIfAbsent(customer, c -> new Usage());
    }

    private void report(CustomerId customer, Usage usage, double allocation, long now) {
        boolean mayReport =
                usage.reportedNanos == Long.MIN_VALUE
                        || now - usage.reportedNanos >= REPORT_INTERVAL_NANOS;
        if (usage.above != usage.reportedAbove && mayReport) {
            usage.reportedAbove = usage.above;
            usage.reportedNanos = now;
            changes.add(new ShareChange(customer, usage.above, usage.use, allocation));
        }
    }

    /** Returns a weight above 0: a customer of unknown weight gets as much as the smallest. */
    private static double weight(CustomerDirectory customers, CustomerId id) {
        double weight = customers.find(id).map(Customer::weight).orElse(0.0);
        return weight > 0 ? weight : 1;
    }

    private static double decay(long nanos) {
        return Math.exp(-Math.max(0, nanos) / MEMORY_NANOS);
    }

    private static double dominantShare(Resources used, BatchCapacity capacity) {
        return Math.max(
                used.milliCores() / MILLI_CORES_PER_CORE / Math.max(1, capacity.cores()),
                used.memoryMb() / Math.max(1, capacity.memoryMb()));
    }

    private static final class Usage {
        private static final double NEGLIGIBLE = 1e-3;

        private Resources wanted = Resources.NONE;
        private Resources used = Resources.NONE;
        private double want;
        private double use;
        private double recent;
        private boolean above;
        private boolean reportedAbove;
        private long reportedNanos = Long.MIN_VALUE;

        void reset() {
            wanted = Resources.NONE;
            used = Resources.NONE;
        }

        void measure(BatchCapacity capacity, boolean contended, double decay) {
            use = dominantShare(used, capacity);
            want = Math.max(use, dominantShare(wanted, capacity));
            recent = recent * decay + (contended ? use * (1 - decay) : 0);
        }

        /** Returns whether nothing is left to remember or to report. */
        boolean isForgotten() {
            return want == 0 && recent < NEGLIGIBLE && !reportedAbove;
        }
    }
}
