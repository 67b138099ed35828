package org.crocusgrade.bench.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.crocusgrade.core.fleet.plan.Planner;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Compares the planner with the threshold planner, and with the optimal plan for the known demand.
 */
class CompareTest {
    private static final int SEEDS = 3;
    private static final int ROUNDS = 8;
    private static final int WARM_UP = 4;
    private static final double MOVES_TARGET = 0.5;
    private static final double BUFFER_TARGET = 0.6;
    private static final double COST_TARGET = 1.3;

    @Test
    void halfTheMovesAtNoWorseWaitWhereMovesWeighMost() {
        Deployment fleet = Deployment.laineflux();
        Score naive = Compare.play(fleet, true, SEEDS, ROUNDS, WARM_UP);
        Score planned = Compare.play(fleet, false, SEEDS, ROUNDS, WARM_UP);
        assertThat((double) planned.moves(), lessThanOrEqualTo(naive.moves() * MOVES_TARGET));
        assertThat(planned.meanWait(), lessThanOrEqualTo(naive.meanWait()));
    }

    @Test
    void sixTenthsOfTheBufferAtNoWorseWaitWhereTheBufferWeighsMost() {
        Deployment fleet = Deployment.authority();
        Score naive = Compare.play(fleet, true, SEEDS, ROUNDS, WARM_UP);
        Score planned = Compare.play(fleet, false, SEEDS, ROUNDS, WARM_UP);
        assertThat(planned.buffer(), lessThanOrEqualTo(naive.buffer() * BUFFER_TARGET));
        assertThat(planned.meanWait(), lessThanOrEqualTo(naive.meanWait()));
    }

    @Test
    void searchWithHindsightIsNoWorseThanAnyPlanner() {
        Deployment fleet = Deployment.small(Deployment.authority());
        PlanSettings settings = PlanSettings.DEFAULT;
        Planner noMoves = view -> new Plan(view.now(), List.of(), List.of());
        for (long seed = 1; seed <= 5; seed++) {
            DemandTrace trace = DemandTrace.rotatingSurges(fleet, settings.tick(), 2, seed);
            for (Planner planner : List.of(noMoves, new ThresholdPlanner(settings))) {
                TraceSimulator simulator =
                        new TraceSimulator(fleet, trace, planner, settings, seed);
                OptimalPlanSearch.State start = simulator.currentState();
                Score score = simulator.playAll();
                Score best = new OptimalPlanSearch(fleet, trace).best(0, start, score);
                assertThat(
                        best.cost(fleet.weights()), lessThanOrEqualTo(score.cost(fleet.weights())));
            }
        }
    }

    @Test
    @Tag("known-red")
    void nearTheLeastCostWhereMovesWeighMost() {
        assertThat(overBest(Deployment.laineflux()), lessThanOrEqualTo(COST_TARGET));
    }

    @Test
    void nearTheLeastCostWhereTheBufferWeighsMost() {
        assertThat(overBest(Deployment.authority()), lessThanOrEqualTo(COST_TARGET));
    }

    private static double overBest(Deployment fleet) {
        double planned = 0;
        double best = 0;
        for (long seed = 1; seed <= 10; seed++) {
            Compare.ScorePair scores = Compare.compareWithOptimum(fleet, seed, 6, 4);
            planned += scores.planned().cost(fleet.weights());
            best += scores.best().cost(fleet.weights());
        }
        return planned / best;
    }
}
