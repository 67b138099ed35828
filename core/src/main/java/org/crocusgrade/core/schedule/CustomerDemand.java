package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.submission.Resources;

/** Determines what the startable tasks of customers with a limit demand. */
public final class CustomerDemand {
    private static final double MILLI = 1000;

    private final PoolState pool;
    private final StartPlanner starts;

    CustomerDemand(PoolState pool, StartPlanner starts) {
        this.pool = pool;
        this.starts = starts;
    }

    Snapshot of(Set<CustomerId> customers, long now, Instant wall) {
        Resources free = pool.free(now);
        Map<CustomerId, Resources> wanted = new HashMap<>();
        Set<CustomerId> waiting = new HashSet<>();
        for (TrackedSubmission submission : pool.active()) {
            if (submission.customer().filter(customers::contains).isEmpty()) {
                continue;
            }
            CustomerId customer = submission.customer().get();
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                int startable = step.startable(now);
                if (startable > 0) {
                    wanted.merge(customer, step.spec().demand().times(startable), Resources::plus);
                    if (starts.isAtLimit(step)) {
                        waiting.add(customer);
                    }
                }
            }
        }
        wanted.replaceAll((c, sum) -> least(sum, free));
        return new Snapshot(wanted, waiting);
    }

    /** Returns whether a step of a submission waits for the limit of its customer. */
    boolean isAtLimit(TrackedSubmission submission, long now, Instant wall) {
        for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
            if (step.hasStartable(now) && starts.isAtLimit(step)) {
                return true;
            }
        }
        return false;
    }

    private static Resources least(Resources a, Resources b) {
        return new Resources(
                Math.max(0, Math.min(a.milliCores(), b.milliCores())),
                Math.max(0, Math.min(a.memoryMb(), b.memoryMb())),
                Math.max(0, Math.min(a.accelerators(), b.accelerators())));
    }

    /** Describes the limited resource of which the customer uses the largest part. */
    static String describe(Resources running, Resources limit) {
        double cores = part(running.milliCores(), limit.milliCores());
        double memory = part(running.memoryMb(), limit.memoryMb());
        double accelerators = part(running.accelerators(), limit.accelerators());
        if (accelerators > cores && accelerators > memory) {
            return text(running.accelerators(), limit.accelerators(), "accelerators");
        }
        if (memory > cores) {
            return text(running.memoryMb(), limit.memoryMb(), "MB");
        }
        return text(running.milliCores() / MILLI, limit.milliCores() / MILLI, "cores");
    }

    private static double part(double running, double limit) {
        return limit == 0 ? running > 0 ? Double.MAX_VALUE : 0 : running / limit;
    }

    private static String text(double running, double limit, String unit) {
        return String.format(
                Locale.ROOT, "customer at its cap: %.0f of %.0f %s", running, limit, unit);
    }

    /**
     * The demand of customers at one time.
     *
     * @param wanted what the startable tasks of each customer demand, as far as workers have it
     *     free
     * @param waiting the customers with startable tasks that their limit keeps from starting
     */
    public record Snapshot(Map<CustomerId, Resources> wanted, Set<CustomerId> waiting) {
        /** Returns what the startable tasks of a customer demand. */
        public Resources wanted(CustomerId customer) {
            return wanted.getOrDefault(customer, Resources.NONE);
        }
    }
}
