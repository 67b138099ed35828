package org.crocusgrade.bench.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.crocusgrade.bench.guarantee.CheckResult;
import org.junit.jupiter.api.Test;

class TrialTest {
    @Test
    void shortTrialViolatesNoGuarantee() throws TrialException {
        TrialPlan plan = new TrialPlan(Deployment.LAINEFLUX, Duration.ofSeconds(6), 1, 3);
        TrialReport report = new Trial(plan, line -> {}).run();
        for (CheckResult result : report.results()) {
            assertThat(result.name() + " " + result.examples(), result.violated(), is(0L));
        }
        assertThat(report.completed(), is(greaterThan(0)));
        assertThat(report.toJson().getJsonArray("services").size(), is(5));
    }
}
