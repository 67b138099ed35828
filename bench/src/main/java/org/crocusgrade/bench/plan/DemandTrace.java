package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Demand of each pool over time.
 *
 * @param step the time between two entries
 * @param slots for each step and pool, the slots needed to serve the arrivals of that step
 */
public record DemandTrace(Duration step, List<double[]> slots) {
    /** Demand in a surge, as a multiple of the pool's mean demand. */
    public static final double SURGE_FACTOR = 5;

    /** Demand between surges, as a fraction of the pool's mean demand. */
    public static final double QUIET_FACTOR = 1.0 / 20;

    /** Demand in a surge, as a multiple of the capacity of the pool's usual workers. */
    public static final double SURGE_TO_USUAL_CAPACITY = 1.6;

    private static final double MIN_SURGE_SECONDS = 5;
    private static final double MAX_SURGE_SECONDS = 7;
    private static final double MAX_GAP_SECONDS = 0.6;
    private static final double LEVEL_SPREAD = 0.05;

    /** Checks the step and copies the list; the arrays in it are shared. */
    public DemandTrace {
        Objects.requireNonNull(step);
        slots = List.copyOf(slots);
    }

    public Duration length() {
        return step.multipliedBy(slots.size());
    }

    /**
     * Generates a trace in which the pools surge one after the other. In a surge, which lasts 5 to
     * 7 s, demand is five times the pool's mean and exceeds the capacity of its usual workers;
     * between surges it is a twentieth of the mean. The level varies by up to 5 % from surge to
     * surge, and the noise of random arrivals is added.
     */
    public static DemandTrace rotatingSurges(
            Deployment fleet, Duration step, int rounds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double stepSeconds = step.toNanos() / 1e9;
        int count = fleet.pools().size();
        double[][] surges = new double[rounds * count][];
        double time = MAX_GAP_SECONDS;
        for (int i = 0; i < surges.length; i++) {
            double length =
                    MIN_SURGE_SECONDS
                            + random.nextDouble() * (MAX_SURGE_SECONDS - MIN_SURGE_SECONDS);
            double level = 1 + (random.nextDouble() * 2 - 1) * LEVEL_SPREAD;
            surges[i] = new double[] {time, time + length, level};
            time += length + random.nextDouble() * MAX_GAP_SECONDS;
        }
        int steps = (int) Math.ceil(time / stepSeconds);
        double[][] slots = new double[steps][count];
        for (int p = 0; p < count; p++) {
            Deployment.Pool pool = fleet.pools().get(p);
            double peak =
                    pool.capacity().usualWorkers()
                            * Deployment.SLOTS_PER_WORKER
                            * SURGE_TO_USUAL_CAPACITY;
            double quiet = peak / SURGE_FACTOR * QUIET_FACTOR;
            double run = pool.runTime().toNanos() / 1e9;
            for (int s = 0; s < steps; s++) {
                double level = quiet;
                for (int i = p; i < surges.length; i += count) {
                    double share = overlap(surges[i], s * stepSeconds, stepSeconds);
                    level += share * (peak * surges[i][2] - quiet);
                }
                double noise = Math.sqrt(level * run / stepSeconds) * normal(random);
                slots[s][p] = Math.max(0, level + noise);
            }
        }
        return new DemandTrace(step, List.of(slots));
    }

    private static double overlap(double[] surge, double from, double length) {
        double shared = Math.min(surge[1], from + length) - Math.max(surge[0], from);
        return Math.max(0, shared) / length;
    }

    /** Returns an approximately standard normal value: the sum of twelve uniform values, less 6. */
    private static double normal(UniformRandomProvider random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }
}
