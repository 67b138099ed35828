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

    /** Some queues get few submissions, each of which takes several hosts for a while. */
    @Test
    void largeSubmissionsAreNotTakenForSurges() {
        double moved = 0;
        double still = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            moved += 1 - lumpy(seed).play(2, SHORT_TURN).served();
            still += 1 - lumpy(seed).keepStill().play(2, SHORT_TURN).served();
        }
        assertThat("moves halve what is late, at least", moved, lessThan(still / 2));
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

    /** Submissions so small that work arrives almost evenly. */
    private static TurnsPlay play(long seed) {
        return play(seed, 0.2, 0.2);
    }

    private static TurnsPlay lumpy(long seed) {
        return play(seed, 6.8, 84);
    }

    private static TurnsPlay play(long seed, double small, double large) {
        TurnsPlay play = new TurnsPlay(seed, 16);
        play.pool("holds", 6, 43, small, 0.64, 2.4, 0);
        play.pool("groups", 6, 48, large, 2.1, 8, 1);
        play.pool("counter", 8, 53, small, 0.64, 2.4, 2);
        play.pool("tours", 9, 59, large, 2.1, 8, 3);
        play.standby(6);
        return play;
    }
}
