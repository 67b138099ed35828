package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.Locale;
import org.crocusgrade.core.fleet.plan.DefaultPlanner;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.Planner;

/**
 * Compares the daemon's planner with a threshold planner on the same traces, and with the optimal
 * plan on traces that are small enough to search.
 */
public final class Compare {
    /** Step of the traces. */
    public static final Duration STEP = Duration.ofMillis(250);

    /**
     * Settings for small traces. Their steps are one tick of a second, into which a drain of 80 ms
     * and a move of 0.9 s fit, as {@link OptimalPlanSearch} assumes.
     */
    private static final PlanSettings SMALL_TRACE_SETTINGS =
            new PlanSettings(
                    PlanSettings.DEFAULT.tick(),
                    PlanSettings.DEFAULT.step(),
                    PlanSettings.DEFAULT.horizon(),
                    PlanSettings.DEFAULT.dwell(),
                    Duration.ofMillis(900),
                    PlanSettings.DEFAULT.stale(),
                    PlanSettings.DEFAULT.minCoverage());

    private Compare() {}

    /**
     * Simulates one trace per seed and returns the sum of the scores after the warm-up.
     *
     * @param naive whether to use the {@link ThresholdPlanner}
     * @param rounds rounds of surges in each trace, in which each pool surges once
     * @param warmUp the rounds at the start that are left out of the score
     */
    public static Score play(Deployment fleet, boolean naive, int seeds, int rounds, int warmUp) {
        Score sum = Score.ZERO;
        for (long seed = 1; seed <= seeds; seed++) {
            DemandTrace trace = DemandTrace.rotatingSurges(fleet, STEP, rounds, seed);
            PlanSettings settings = PlanSettings.DEFAULT;
            Planner planner = naive ? new ThresholdPlanner(settings) : new DefaultPlanner(settings);
            TraceSimulator simulator = new TraceSimulator(fleet, trace, planner, settings, seed);
            simulator.play(trace.slots().size() * warmUp / rounds);
            Score before = simulator.score();
            sum = sum.plus(simulator.playAll().minus(before));
            if (!simulator.violations().isEmpty()) {
                throw new IllegalStateException(simulator.violations().get(0));
            }
        }
        return sum;
    }

    /**
     * Returns the planner's score and that of the optimal plan, on a trace for a fleet of three
     * pools.
     *
     * @param weightsOf the deployment whose cost weights the small fleet uses
     * @param rounds rounds of surges in the trace
     * @param warmUp the rounds at the start from which the planner learns and that are not scored
     */
    public static ScorePair compareWithOptimum(
            Deployment weightsOf, long seed, int rounds, int warmUp) {
        Deployment fleet = Deployment.small(weightsOf);
        PlanSettings settings = SMALL_TRACE_SETTINGS;
        DemandTrace trace = DemandTrace.rotatingSurges(fleet, settings.tick(), rounds, seed);
        TraceSimulator simulator =
                new TraceSimulator(fleet, trace, new DefaultPlanner(settings), settings, seed);
        simulator.play(trace.slots().size() * warmUp / rounds);
        Score before = simulator.score();
        int from = simulator.stepsPlayed();
        OptimalPlanSearch.State start = simulator.currentState();
        Score planned = simulator.playAll().minus(before);
        return new ScorePair(
                planned, new OptimalPlanSearch(fleet, trace).best(from, start, planned));
    }

    /**
     * Scores of the planner and of the optimal plan on the same trace.
     *
     * @param planned the planner's score
     * @param best the score of a plan of least cost
     */
    public record ScorePair(Score planned, Score best) {}

    /** Prints the comparison for the two sample deployments. */
    public static void main(String[] args) {
        for (Deployment fleet : new Deployment[] {Deployment.laineflux(), Deployment.authority()}) {
            for (int warmUp : new int[] {0, 4}) {
                Score naive = play(fleet, true, 10, 12, warmUp);
                Score planned = play(fleet, false, 10, 12, warmUp);
                System.out.printf(Locale.ROOT, "%s after %d rounds%n", fleet.name(), warmUp);
                System.out.println("  naive:   " + naive.line());
                System.out.println("  planner: " + planned.line());
            }
            Score planned = Score.ZERO;
            Score best = Score.ZERO;
            for (long seed = 1; seed <= 10; seed++) {
                ScorePair pair = compareWithOptimum(fleet, seed, 6, 4);
                planned = planned.plus(pair.planned());
                best = best.plus(pair.best());
            }
            System.out.println("  small, planner: " + planned.line());
            System.out.println("  small, best:    " + best.line());
            double ratio = planned.cost(fleet.weights()) / best.cost(fleet.weights());
            System.out.printf(Locale.ROOT, "  cost over best: %.3f%n", ratio);
        }
    }
}
