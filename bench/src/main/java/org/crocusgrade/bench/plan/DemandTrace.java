package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * What each pool is asked for over time.
 *
 * @param step the time between two entries
 * @param slots for each step and pool, the slots that arrivals ask for
 */
public record DemandTrace(Duration step, List<double[]> slots) {
    /** Demand in a surge, as a multiple of its mean. */
    public static final double SURGE_FACTOR = 5;

    /** Demand between surges, as a part of its mean. */
    public static final double QUIET_PART = 1.0 / 20;

    /** Demand in a surge, as a multiple of what the pool usually holds. */
    public static final double SURGE_OVER_POOL = 1.6;

    private static final double MIN_SURGE_SECONDS = 5;
    private static final double MAX_SURGE_SECONDS = 7;
    private static final double MAX_GAP_SECONDS = 0.6;
    private static final double LEVEL_SPREAD = 0.05;

    /** Copies the list. */
    public DemandTrace {
        Objects.requireNonNull(step);
        slots = List.copyOf(slots);
    }

    /** Returns its length. */
    public Duration length() {
        return step.multipliedBy(slots.size());
    }

    /**
     * Makes a trace in which each pool surges in its turn: to five times its mean for some seconds,
     * which is more than the pool holds, and to a twentieth of its mean in between. Lengths and
     * levels vary from turn to turn, and arrivals come at random.
     */
    public static DemandTrace turns(Deployment fleet, Duration step, int rounds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double stepSeconds = step.toNanos() / 1e9;
        int count = fleet.pools().size();
        double[][] turns = new double[rounds * count][];
        double time = MAX_GAP_SECONDS;
        for (int i = 0; i < turns.length; i++) {
            double length =
                    MIN_SURGE_SECONDS
                            + random.nextDouble() * (MAX_SURGE_SECONDS - MIN_SURGE_SECONDS);
            double level = 1 + (random.nextDouble() * 2 - 1) * LEVEL_SPREAD;
            turns[i] = new double[] {time, time + length, level};
            time += length + random.nextDouble() * MAX_GAP_SECONDS;
        }
        int steps = (int) Math.ceil(time / stepSeconds);
        double[][] slots = new double[steps][count];
        for (int p = 0; p < count; p++) {
            Deployment.Pool pool = fleet.pools().get(p);
            double peak = pool.capacity().usualWorkers() * Deployment.SLOTS * SURGE_OVER_POOL;
            double quiet = peak / SURGE_FACTOR * QUIET_PART;
            double run = pool.runTime().toNanos() / 1e9;
            for (int s = 0; s < steps; s++) {
                double level = quiet;
                for (int i = p; i < turns.length; i += count) {
                    double share = overlap(turns[i], s * stepSeconds, stepSeconds);
                    level += share * (peak * turns[i][2] - quiet);
                }
                double noise = Math.sqrt(level * run / stepSeconds) * normal(random);
                slots[s][p] = Math.max(0, level + noise);
            }
        }
        return new DemandTrace(step, List.of(slots));
    }

    private static double overlap(double[] turn, double from, double length) {
        double shared = Math.min(turn[1], from + length) - Math.max(turn[0], from);
        return Math.max(0, shared) / length;
    }

    /** Returns a value near the standard normal distribution. */
    private static double normal(UniformRandomProvider random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }
}
