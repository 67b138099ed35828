package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * A surge meets an owner with little processor time. Guards against an owner that orders more than
 * it can handle the answers of, takes its own delay for silence of the workers, and stops the runs
 * that it has just started.
 */
class OverloadedOwnerTest {
    private static final int WORKERS = 90;
    private static final int SUBMISSIONS = 20;
    private static final int TASKS = 30;

    /** Processor time of the owner for each of the three parts of a call. */
    private static final Duration PASS = Duration.ofMillis(1);

    @Test
    void surgeIsStartedOnceByAnOwnerWithLittleProcessorTime() {
        SimFleet fleet = new SimFleet(1, false, WORKERS);
        fleet.daemons.values().forEach(d -> d.orders.setCost(d.loop, PASS));
        fleet.time.run(3000);
        for (int i = 0; i < SUBMISSIONS; i++) {
            fleet.submit(TASKS);
        }
        fleet.time.run(20_000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
        assertThat("each task is started once", fleet.checks.starts(), is(SUBMISSIONS * TASKS));
    }
}
