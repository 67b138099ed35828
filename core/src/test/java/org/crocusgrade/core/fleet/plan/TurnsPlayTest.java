package org.crocusgrade.core.fleet.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.crocusgrade.core.fleet.plan.TurnsPlay.Result;
import org.junit.jupiter.api.Test;

/**
 * Pools that surge in turns, each asking for four times its mean: the load for which hosts move.
 * All hosts together could carry two and a half times what is asked at any moment, so what is not
 * served in time is the cost of finding out and of moving.
 */
class TurnsPlayTest {
    private static final int SEEDS = 10;
    private static final double SHORT_TURN = 4.5;
    private static final double LONG_TURN = 8.5;

    /** The part that may be late while nobody knows yet which pool surges when. */
    private static final double LATE_AT_FIRST = 0.05;

    /** The operators' target of the trial: 99% of what the hosts could carry. */
    private static final double LATE_ONCE_LEARNED = 0.01;

    @Test
    void theFirstRoundIsServedBeforeTheTurnsAreKnown() {
        assertThat(late(1, SHORT_TURN, false), lessThan(LATE_AT_FIRST));
        assertThat(late(1, LONG_TURN, false), lessThan(LATE_AT_FIRST));
    }

    @Test
    void laterRoundsAreServedAsTheHostsCouldCarryThem() {
        assertThat(late(6, SHORT_TURN, false), lessThan(LATE_ONCE_LEARNED));
        assertThat(late(6, LONG_TURN, false), lessThan(LATE_ONCE_LEARNED));
    }

    @Test
    void noPoolPaysForTheOthers() {
        double worst = 1;
        for (long seed = 1; seed <= SEEDS; seed++) {
            worst = Math.min(worst, play(seed).play(2, SHORT_TURN).worst());
        }
        assertThat(worst, greaterThan(0.9));
    }

    @Test
    void withoutMovesMuchIsLate() {
        assertThat(late(2, SHORT_TURN, true), greaterThan(0.3));
    }

    private static double late(int rounds, double turn, boolean still) {
        double late = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            TurnsPlay play = still ? play(seed).keepStill() : play(seed);
            Result result = play.play(rounds, turn);
            late += (1 - result.served()) / SEEDS;
        }
        return late;
    }

    private static TurnsPlay play(long seed) {
        TurnsPlay play = new TurnsPlay(seed, 16);
        play.pool("holds", 6, 43, 0.64, 2.4, 0);
        play.pool("groups", 6, 48, 2.1, 8, 1);
        play.pool("counter", 8, 53, 0.64, 2.4, 2);
        play.pool("tours", 9, 59, 2.1, 8, 3);
        play.standby(6);
        return play;
    }
}
