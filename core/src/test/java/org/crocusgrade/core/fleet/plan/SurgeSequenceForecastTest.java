package org.crocusgrade.core.fleet.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;
import org.junit.jupiter.api.Test;

/** Checks the forecast for four pools that surge in turns of 4.5 s each. */
class SurgeSequenceForecastTest {
    private static final double TURN = 4.5;
    private static final List<ServiceId> POOLS =
            List.of(new ServiceId("a"), new ServiceId("b"), new ServiceId("c"), new ServiceId("d"));

    private final SurgeSequenceForecast forecast = new SurgeSequenceForecast();

    @Test
    void nothingIsForecastBeforeTwoSurges() {
        observeUntil(TURN * 0.9);
        assertThat(forecast.next(TURN * 0.9), is(Optional.empty()));
    }

    @Test
    void theOnlyPoolWithoutASurgeIsForecastNext() {
        double now = TURN * 2 + 1;
        observeUntil(now);
        SurgeSequenceForecast.Next next = forecast.next(now).orElseThrow();
        assertThat(next.pool(), is(POOLS.get(3)));
        assertThat(next.inSeconds(), closeTo(TURN - 1, 0.5));
    }

    @Test
    void secondRoundIsForecastInTheOrderOfTheFirst() {
        double now = TURN * 4 + 1;
        observeUntil(now);
        SurgeSequenceForecast.Next next = forecast.next(now).orElseThrow();
        assertThat(next.pool(), is(POOLS.get(1)));
        assertThat(next.inSeconds(), closeTo(TURN - 1, 0.5));
        assertThat(forecast.isSurging(POOLS.get(0)), is(true));
        assertThat(forecast.surgeLeft(POOLS.get(0), now), closeTo(TURN - 1, 0.5));
    }

    @Test
    void anOverdueSurgeIsNoLongerForecast() {
        double now = TURN * 4 + 1;
        observeUntil(now);
        assertThat(forecast.next(now + 2 * TURN), is(Optional.empty()));
    }

    @Test
    void aRestoredForecastContinuesFromTheSnapshot() {
        double now = TURN * 5 + 1;
        observeUntil(now);
        SurgeSequenceForecast next = new SurgeSequenceForecast();
        next.restore(forecast.snapshot(now), now);
        assertThat(next.next(now), is(forecast.next(now)));
        assertThat(next.isSurging(POOLS.get(1)), is(true));
        assertThat(next.peak(POOLS.get(2)), closeTo(forecast.peak(POOLS.get(2)), 1));
        assertThat(
                "a restored surge must not start a second time",
                next.observe(POOLS.get(1), now, 400, 40),
                is(false));
        assertThat(next.observe(POOLS.get(2), now + TURN, 400, 40), is(true));
        assertThat(next.next(now + TURN).orElseThrow().pool(), is(POOLS.get(3)));
    }

    @Test
    void aSnapshotWithoutSurgesForecastsNothing() {
        SurgeSequenceForecast next = new SurgeSequenceForecast();
        next.restore(forecast.snapshot(0), 5);
        assertThat(next.next(5), is(Optional.empty()));
    }

    @Test
    void aSingleLargeSubmissionIsNoSurge() {
        forecast.observe(POOLS.get(0), 0, 0, 0);
        for (int i = 1; i < 20; i++) {
            assertThat(forecast.observe(POOLS.get(0), i * 0.1, 300, 1), is(false));
        }
        assertThat(forecast.isSurging(POOLS.get(0)), is(false));
    }

    @Test
    void aFewSmallSubmissionsAreNoSurge() {
        forecast.observe(POOLS.get(0), 0, 0, 0);
        for (int i = 1; i < 20; i++) {
            assertThat(forecast.observe(POOLS.get(0), i * 0.1, 15, 5), is(false));
        }
    }

    /** A pool lost its new hosts because the next owner's first samples showed no arrivals. */
    @Test
    void surgeGoesOnWhileTheOwnerOfItsPoolIsReplaced() {
        double now = TURN * 4 + 1;
        observeUntil(now);
        for (double age = 0.1; age < 1.2; age += 0.1) {
            double seen = 400 * age / 1.2;
            forecast.observe(POOLS.get(0), now + age, seen, (int) (seen / 10), age / 1.2);
            assertThat("after " + age, forecast.isSurging(POOLS.get(0)), is(true));
        }
        assertThat(forecast.peak(POOLS.get(0)), closeTo(400, 1));
        for (double at = now + 1.3; at < now + 3.5; at += 0.1) {
            forecast.observe(POOLS.get(0), at, 5, 0, 1);
        }
        assertThat(forecast.isSurging(POOLS.get(0)), is(false));
    }

    private void observeUntil(double until) {
        for (double at = -3; at < until; at += 0.1) {
            for (int i = 0; i < POOLS.size(); i++) {
                double round = at % (TURN * POOLS.size());
                boolean peak = at >= 0 && round >= i * TURN && round < (i + 1) * TURN;
                forecast.observe(POOLS.get(i), at, peak ? 400 : 5, peak ? 40 : 1);
            }
        }
        for (int i = 0; i < POOLS.size(); i++) {
            boolean peak = i == turn(until);
            forecast.observe(POOLS.get(i), until, peak ? 400 : 5, peak ? 40 : 1);
        }
    }

    private static int turn(double at) {
        return (int) (at / TURN) % POOLS.size();
    }
}
