package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays a surge in which workers leave one call in twenty unanswered and carry it out seconds
 * later. Guards against workers that stand idle with all their runs ended, because the poll that
 * would show it has got no answer.
 */
class UnansweredOrdersTest {
    private static final int SEEDS = 5;
    private static final int WORKERS = 16;
    private static final int SUBMISSIONS = 100;
    private static final int TASKS = 16;
    private static final long SURGE_MILLIS = 6000;
    private static final double UNANSWERED = 0.055;

    /** The part of the runs that the same surge has when all calls are answered. */
    private static final double MIN_RUNS = 0.85;

    @Test
    void unansweredCallsHideNoWorker() {
        double answered = 0;
        double unanswered = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            answered += starts(seed, 0);
            unanswered += starts(seed, UNANSWERED);
        }
        assertThat(unanswered / answered, greaterThan(MIN_RUNS));
    }

    /**
     * The other runs last, so that the open poll of their worker ends late. A call counts as
     * unanswered after 0.8 s, and the second one is sent up to 0.4 s after the first.
     *
     * @param offsetMillis shifts the start against the polls
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 900, 1200, 1500})
    void taskWithoutAnAnswerToItsStartBeginsBeforeTheOpenPollEnds(long offsetMillis) {
        SimFleet fleet = SimFleet.withEndlessTasks(1);
        fleet.submit(4);
        fleet.time.run(20_000 + offsetMillis);
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(1));
        fleet.submit(4);
        fleet.time.run(500);
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
        fleet.time.run(1000);
        assertThat(fleet.checks.starts(), is(8));
        assertThat(fleet.checks.violations(), empty());
    }

    /** Returns how many runs start in a surge that keeps all workers busy. */
    private static int starts(int seed, double unansweredShare) {
        SimFleet fleet = new SimFleet(seed, false, WORKERS);
        for (int i = 0; i < SUBMISSIONS / 5; i++) {
            fleet.submit(TASKS);
        }
        fleet.time.run(SURGE_MILLIS);
        int before = fleet.checks.starts();
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(unansweredShare));
        for (int i = 0; i < SUBMISSIONS; i++) {
            fleet.submit(TASKS);
        }
        fleet.time.run(SURGE_MILLIS);
        int starts = fleet.checks.starts() - before;
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
        fleet.time.run(SURGE_MILLIS);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
        return starts;
    }
}
