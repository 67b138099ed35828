package org.crocusgrade.bench.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.crocusgrade.bench.guarantee.CheckResult;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.bench.trial.TrialException;
import org.crocusgrade.bench.trial.TrialPlan;
import org.crocusgrade.bench.trial.TrialReport;
import org.junit.jupiter.api.Test;

class FaultTrialTest {
    /** A seed whose first pair is a worker that fails every request and a killed daemon. */
    private static final long SEED = 25;

    @Test
    void killedDaemonAndFailingWorkerViolateNoGuarantee() throws TrialException {
        TrialPlan plan = new TrialPlan(Deployment.AUTHORITY, Duration.ofSeconds(9), SEED, 3);
        TrialReport report = new FaultTrial(plan, line -> {}).run();
        for (CheckResult result : report.results()) {
            assertThat(result.name() + " " + result.examples(), result.violated(), is(0L));
        }
        assertThat(report.completed(), is(greaterThan(0)));
    }
}
