package org.crocusgrade.bench.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.crocusgrade.bench.plan.Deployment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A wave over 35 hosts must take at most 1.25 times the lower bound that the budgets imply. */
class WaveTimeTest {
    private static final double MAX_RATIO = 1.25;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void waveTakesAtMostAQuarterLongerThanTheBound(long seed) {
        for (Deployment fleet : new Deployment[] {Deployment.laineflux(), Deployment.authority()}) {
            assertThat(fleet.workers(), is(35));
            WaveSimulator.Times times = WaveSimulator.simulate(fleet, seed, 0);
            assertThat(times.ratio(), greaterThanOrEqualTo(1.0));
            assertThat(times.ratio(), lessThanOrEqualTo(MAX_RATIO));
        }
    }
}
