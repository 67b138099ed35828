package org.crocusgrade.bench.dispatch;

import java.io.PrintStream;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.dispatch.Reason;

/** Compares the queue's decisions with the naive ones on the same schedules and prints figures. */
public final class DispatchComparison {
    private static final int BOUND = 5000;
    private static final int WORKERS = 6;
    private static final int SLOTS = 8;
    private static final Duration MEAN_RUN = Duration.ofMillis(40);
    private static final Duration DECLARED_RUN = Duration.ofMillis(200);
    private static final Duration SHORTEST_DEADLINE = Duration.ofMillis(250);
    private static final double USUAL_LOAD = 0.5;
    private static final int CUSTOMERS = 12;
    private static final double URGENT_SHARE = 0.2;

    private static final Duration BEFORE = Duration.ofSeconds(3);
    private static final Duration SURGE = Duration.ofSeconds(8);

    /** When the surge of a schedule starts, in nanoseconds. */
    public static final long SURGE_START = BEFORE.toNanos();

    private DispatchComparison() {}

    /** Prints a line for each load and seed; the argument is the number of seeds. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        for (int failing = 0; failing <= 1; failing++) {
            for (double factor : new double[] {1, 1.8, 2.2, 5}) {
                for (int seed = 1; seed <= seeds; seed++) {
                    compare(factor, failing, seed, System.out);
                }
            }
        }
    }

    /** Returns a schedule whose middle part has this many times the usual load. */
    public static Schedule surge(double factor, Duration length, long seed) {
        double perSecond = USUAL_LOAD * WORKERS * SLOTS / (MEAN_RUN.toNanos() / 1e9);
        List<Schedule.Phase> phases =
                List.of(
                        new Schedule.Phase(BEFORE, 1),
                        new Schedule.Phase(length, factor),
                        new Schedule.Phase(Duration.ofSeconds(3), 0.05));
        return Schedule.draw(
                new Schedule.Spec(
                        phases, perSecond, MEAN_RUN, SHORTEST_DEADLINE, CUSTOMERS, URGENT_SHARE),
                seed);
    }

    /** Returns the fleet. */
    public static ScheduleDriver.Fleet fleet(int failing) {
        return new ScheduleDriver.Fleet(WORKERS, SLOTS, failing);
    }

    /** Returns the factory of the daemon's own dispatcher. */
    public static Dispatcher.Factory own(long seed) {
        return QueueDispatcher.factory(ServiceClass.PROMPT, BOUND, DECLARED_RUN, seed);
    }

    /** Returns the factory of the naive dispatcher. */
    public static Dispatcher.Factory naive() {
        return actions -> new NaiveDispatcher(actions, BOUND);
    }

    /** Returns the share of the work that could be carried in a time that was done in time. */
    public static double carried(
            Schedule schedule, int failing, ScheduleDriver.Result result, long from, long to) {
        int slots = (WORKERS - failing) * SLOTS;
        double bound = CarryBound.workNanos(schedule, slots, from, to);
        return result.inTimeWorkNanos(from, to) / bound;
    }

    private static void compare(double factor, int failing, long seed, PrintStream out) {
        Schedule schedule = surge(factor, SURGE, seed);
        print("own", factor, failing, seed, schedule, own(seed), out);
        print("naive", factor, failing, seed, schedule, naive(), out);
    }

    private static void print(
            String name,
            double factor,
            int failing,
            long seed,
            Schedule schedule,
            Dispatcher.Factory factory,
            PrintStream out) {
        ScheduleDriver.Result result = ScheduleDriver.run(schedule, fleet(failing), factory);
        Map<Reason, Integer> reasons = new EnumMap<>(Reason.class);
        result.answers().values().forEach(reason -> reasons.merge(reason, 1, Integer::sum));
        out.printf(
                Locale.ROOT,
                "%-5s load x%.1f failing %d seed %d: in time %d of %d; of the work that could be"
                        + " carried %.4f in the surge, %.4f in all; start wait p50 %.1f ms"
                        + " p99 %.1f ms, urgent max %.1f ms; breaches %d; %s%n",
                name,
                factor,
                failing,
                seed,
                result.inTime(),
                result.offered(),
                carried(schedule, failing, result, SURGE_START, SURGE_START + SURGE.toNanos()),
                carried(schedule, failing, result, 0, Long.MAX_VALUE / 2),
                result.waits().getValueAtPercentile(50) / 1e6,
                result.waits().getValueAtPercentile(99) / 1e6,
                result.urgentWaits().getMaxValue() / 1e6,
                result.breaches(),
                reasons);
    }
}
