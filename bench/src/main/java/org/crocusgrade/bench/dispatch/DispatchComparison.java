package org.crocusgrade.bench.dispatch;

import java.io.PrintStream;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.dispatch.Reason;

/**
 * Compares the daemon's queue with the naive dispatcher on the same schedules and prints the
 * results.
 */
public final class DispatchComparison {
    private static final int QUEUE_BOUND = 5000;
    private static final int WORKERS = 6;
    private static final int SLOTS = 8;
    private static final Duration MEAN_RUN = Duration.ofMillis(40);
    private static final Duration DECLARED_RUN = Duration.ofMillis(200);
    private static final Duration SHORTEST_DEADLINE = Duration.ofMillis(250);
    private static final double BASE_UTILIZATION = 0.5;
    private static final int CUSTOMERS = 12;
    private static final double URGENT_SHARE = 0.2;

    private static final Duration BEFORE_SURGE = Duration.ofSeconds(3);
    private static final Duration SURGE_LENGTH = Duration.ofSeconds(8);

    /** Start of the surge, in nanoseconds from the start of the schedule. */
    public static final long SURGE_START_NANOS = BEFORE_SURGE.toNanos();

    private DispatchComparison() {}

    /**
     * Prints one line per load factor, number of failing workers, seed and dispatcher. The optional
     * argument is the number of seeds, 3 by default.
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        for (int failingWorkers = 0; failingWorkers <= 1; failingWorkers++) {
            for (double loadFactor : new double[] {1, 1.8, 2.2, 5}) {
                for (int seed = 1; seed <= seeds; seed++) {
                    compare(loadFactor, failingWorkers, seed, System.out);
                }
            }
        }
    }

    /**
     * Returns a schedule whose middle phase has the given multiple of the base load, after 3 s at
     * the base load and before 3 s at a twentieth of it. The base load keeps half of the slots
     * busy.
     */
    public static Schedule surgeSchedule(double loadFactor, Duration length, long seed) {
        double arrivalsPerSecond = BASE_UTILIZATION * WORKERS * SLOTS / (MEAN_RUN.toNanos() / 1e9);
        List<Schedule.Phase> phases =
                List.of(
                        new Schedule.Phase(BEFORE_SURGE, 1),
                        new Schedule.Phase(length, loadFactor),
                        new Schedule.Phase(Duration.ofSeconds(3), 0.05));
        return Schedule.generate(
                new Schedule.Spec(
                        phases,
                        arrivalsPerSecond,
                        MEAN_RUN,
                        SHORTEST_DEADLINE,
                        CUSTOMERS,
                        URGENT_SHARE),
                seed);
    }

    /** Returns the fleet, of which the given number of workers fail every request. */
    public static DispatchSimulator.Fleet fleet(int failingWorkers) {
        return new DispatchSimulator.Fleet(WORKERS, SLOTS, failingWorkers);
    }

    /** Returns a factory of dispatchers that use the daemon's service queue. */
    public static Dispatcher.Factory queueFactory(long seed) {
        return QueueDispatcher.factory(ServiceClass.PROMPT, QUEUE_BOUND, DECLARED_RUN, seed);
    }

    public static Dispatcher.Factory naiveFactory() {
        return actions -> new NaiveDispatcher(actions, QUEUE_BOUND);
    }

    /**
     * Returns the slot time spent on answers that were in time, as a share of the {@link
     * EdfWorkBound} for the same interval. Slots of failing workers don't count for the bound.
     */
    public static double shareOfBound(
            Schedule schedule,
            int failingWorkers,
            DispatchSimulator.Result result,
            long from,
            long to) {
        int slots = (WORKERS - failingWorkers) * SLOTS;
        double boundNanos = EdfWorkBound.workNanos(schedule, slots, from, to);
        return result.inTimeWorkNanos(from, to) / boundNanos;
    }

    private static void compare(double loadFactor, int failingWorkers, long seed, PrintStream out) {
        Schedule schedule = surgeSchedule(loadFactor, SURGE_LENGTH, seed);
        print("own", loadFactor, failingWorkers, seed, schedule, queueFactory(seed), out);
        print("naive", loadFactor, failingWorkers, seed, schedule, naiveFactory(), out);
    }

    private static void print(
            String name,
            double loadFactor,
            int failingWorkers,
            long seed,
            Schedule schedule,
            Dispatcher.Factory factory,
            PrintStream out) {
        DispatchSimulator.Result result =
                DispatchSimulator.run(schedule, fleet(failingWorkers), factory);
        Map<Reason, Integer> reasons = new EnumMap<>(Reason.class);
        result.answers().values().forEach(reason -> reasons.merge(reason, 1, Integer::sum));
        out.printf(
                Locale.ROOT,
                "%-5s load x%.1f failing %d seed %d: in time %d of %d; share of the"
                        + " work bound %.4f in the surge, %.4f in all; start wait p50 %.1f ms"
                        + " p99 %.1f ms, urgent max %.1f ms; breaches %d; %s%n",
                name,
                loadFactor,
                failingWorkers,
                seed,
                result.inTime(),
                result.offered(),
                shareOfBound(
                        schedule,
                        failingWorkers,
                        result,
                        SURGE_START_NANOS,
                        SURGE_START_NANOS + SURGE_LENGTH.toNanos()),
                shareOfBound(schedule, failingWorkers, result, 0, Long.MAX_VALUE / 2),
                result.waits().getValueAtPercentile(50) / 1e6,
                result.waits().getValueAtPercentile(99) / 1e6,
                result.urgentWaits().getMaxValue() / 1e6,
                result.breaches(),
                reasons);
    }
}
