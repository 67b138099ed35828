package org.crocusgrade.core.fleet.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;
import org.junit.jupiter.api.Test;

/**
 * Checks that surges in turns are detected from digests and forecast, and that steady demand is
 * not.
 */
class DemandForecasterTest {
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");
    private static final int TURN_SECONDS = 8;
    private static final double PEAK = 80;
    private static final double QUIET = 0.8;

    private final DemandForecaster forecaster = new DemandForecaster(PlanSettings.DEFAULT);

    /**
     * Adds the digests of one second; unless the demand is steady, pool i surges in turn i of each
     * round.
     */
    private void observe(int second, int pools, boolean steady) {
        List<PoolView> views = new ArrayList<>();
        for (int p = 0; p < pools; p++) {
            boolean surges = !steady && second / TURN_SECONDS % pools == p;
            DemandDigest digest =
                    new DemandDigest(
                            ORIGIN.plusSeconds(second + 1), surges ? PEAK : QUIET, 0, 0, 1);
            views.add(
                    new PoolView(
                            new PoolId("p" + p),
                            new ServiceConfig.Capacity(1, 6, 20, false),
                            new ServiceConfig.Budget(2, 1),
                            ServiceClass.PROMPT,
                            Optional.of(digest)));
        }
        Instant now = ORIGIN.plusSeconds(second + 2);
        forecaster.observe(new FleetView(now, List.of(), views, new PlanWeights(1, 1)));
    }

    @Test
    void followersAreForecastByTheirLag() {
        int seconds = 3 * 3 * TURN_SECONDS + 4;
        for (int s = 0; s < seconds; s++) {
            observe(s, 3, false);
        }
        Map<PoolId, DemandForecaster.Start> starts = forecaster.starts(ORIGIN.plusSeconds(seconds));
        assertThat(forecaster.surging(new PoolId("p0")), is(true));
        assertThat(starts.get(new PoolId("p1")).seconds(), closeTo(4, 0.6));
        assertThat(starts.get(new PoolId("p2")).seconds(), closeTo(12, 0.6));
        assertThat(starts.get(new PoolId("p0")).seconds(), closeTo(20, 0.6));
    }

    @Test
    void forecastRisesAtTheStartAndFallsAtTheEnd() {
        int seconds = 3 * 3 * TURN_SECONDS + 4;
        for (int s = 0; s < seconds; s++) {
            observe(s, 3, false);
        }
        Instant now = ORIGIN.plusSeconds(seconds);
        PoolId next = new PoolId("p1");
        double[] demand = forecaster.forecast(next, now, forecaster.starts(now).get(next));
        assertThat(demand[4], lessThan(PEAK / 4));
        assertThat(demand[12], greaterThan(PEAK * 0.8));
        assertThat(demand[30], lessThan(PEAK / 4));
    }

    @Test
    void steadyDemandIsNoSurge() {
        for (int s = 0; s < 60; s++) {
            observe(s, 3, true);
        }
        assertThat(forecaster.starts(ORIGIN.plusSeconds(60)).size(), is(0));
        assertThat(forecaster.surging(new PoolId("p0")), is(false));
    }

    @Test
    void nothingIsForecastFromOneRound() {
        int seconds = 3 * TURN_SECONDS - 2;
        for (int s = 0; s < seconds; s++) {
            observe(s, 3, false);
        }
        Map<PoolId, DemandForecaster.Start> starts = forecaster.starts(ORIGIN.plusSeconds(seconds));
        assertThat(starts, not(hasKey(new PoolId("p0"))));
        assertThat(starts.size(), equalTo(0));
    }
}
