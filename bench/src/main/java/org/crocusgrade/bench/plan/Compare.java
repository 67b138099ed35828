package org.crocusgrade.bench.plan;

import java.time.Duration;
import java.util.Locale;
import org.crocusgrade.core.fleet.plan.DefaultPlanner;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.Planner;

/** Compares the planner with the naive one on the same seeded traces. */
public final class Compare {
    /** Step of the traces. */
    public static final Duration STEP = Duration.ofMillis(250);

    /** The planner's settings for small traces, in whose steps of a second a move takes one. */
    private static final PlanSettings SMALL =
            new PlanSettings(
                    PlanSettings.DEFAULT.tick(),
                    PlanSettings.DEFAULT.step(),
                    PlanSettings.DEFAULT.horizon(),
                    PlanSettings.DEFAULT.dwell(),
                    Duration.ofMillis(900),
                    PlanSettings.DEFAULT.stale(),
                    PlanSettings.DEFAULT.minCoverage());

    private Compare() {}

    /** Plays traces of several seeds and returns the sum of their scores, without a warm-up. */
    public static Score play(Deployment fleet, boolean naive, int seeds, int rounds, int warmUp) {
        Score sum = Score.ZERO;
        for (long seed = 1; seed <= seeds; seed++) {
            DemandTrace trace = DemandTrace.turns(fleet, STEP, rounds, seed);
            PlanSettings settings = PlanSettings.DEFAULT;
            Planner planner = naive ? new ThresholdPlanner(settings) : new DefaultPlanner(settings);
            TraceDriver driver = new TraceDriver(fleet, trace, planner, settings, seed);
            driver.play(trace.slots().size() * warmUp / rounds);
            Score before = driver.score();
            sum = sum.plus(driver.playAll().minus(before));
            if (!driver.violations().isEmpty()) {
                throw new IllegalStateException(driver.violations().get(0));
            }
        }
        return sum;
    }

    /**
     * Returns the planner's score and that of the least weighted cost on a small trace of three
     * pools.
     *
     * @param warmUp the rounds that the planner learns from, out of the given rounds
     */
    public static Ratio overBest(Deployment weighedAs, long seed, int rounds, int warmUp) {
        Deployment fleet = Deployment.small(weighedAs);
        PlanSettings settings = SMALL;
        DemandTrace trace = DemandTrace.turns(fleet, settings.tick(), rounds, seed);
        TraceDriver driver =
                new TraceDriver(fleet, trace, new DefaultPlanner(settings), settings, seed);
        driver.play(trace.slots().size() * warmUp / rounds);
        Score before = driver.score();
        int from = driver.played();
        Hindsight.Start stand = driver.stand();
        Score planned = driver.playAll().minus(before);
        return new Ratio(planned, new Hindsight(fleet, trace).best(from, stand, planned));
    }

    /**
     * A planner's score and that of the least possible cost.
     *
     * @param planned the planner's
     * @param best the least possible
     */
    public record Ratio(Score planned, Score best) {}

    /** Prints the comparison for both deployments of today. */
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
                Ratio r = overBest(fleet, seed, 6, 4);
                planned = planned.plus(r.planned());
                best = best.plus(r.best());
            }
            System.out.println("  small, planner: " + planned.line());
            System.out.println("  small, best:    " + best.line());
            double ratio = planned.cost(fleet.weights()) / best.cost(fleet.weights());
            System.out.printf(Locale.ROOT, "  cost over best: %.3f%n", ratio);
        }
    }
}
