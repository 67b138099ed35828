package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
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

    private static final long CANCEL_AFTER_MILLIS = 100;

    /** The time-out of the callers. */
    private static final long CALLER_TIMEOUT_MILLIS = 3000;

    @Test
    void surgeIsStartedOnceByAnOwnerWithLittleProcessorTime() {
        SimFleet fleet = slowFleet(WORKERS);
        for (int i = 0; i < SUBMISSIONS; i++) {
            fleet.submit(TASKS);
        }
        fleet.time.run(20_000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
        assertThat("each task is started once", fleet.checks.starts(), is(SUBMISSIONS * TASKS));
    }

    @Test
    void cancellationsAreAcknowledgedWhileTheOwnerHandlesASurge() {
        SimFleet fleet = slowFleet(4 * WORKERS);
        List<SubmissionId> ids = new ArrayList<>();
        for (int i = 0; i < 4 * SUBMISSIONS; i++) {
            ids.add(fleet.submit(TASKS));
        }
        fleet.time.run(CANCEL_AFTER_MILLIS);
        List<SubmissionReply.Outcome> outcomes = new ArrayList<>();
        SimFleet.Daemon daemon = fleet.daemons.values().iterator().next();
        for (SubmissionId id : ids) {
            daemon.call(Operation.CANCEL, id, new byte[0], r -> outcomes.add(r.outcome()));
        }
        fleet.time.run(CALLER_TIMEOUT_MILLIS);
        assertThat(outcomes, everyItem(is(SubmissionReply.Outcome.DONE)));
        assertThat(outcomes, hasSize(4 * SUBMISSIONS));
    }

    /** Starts a fleet whose daemons use processor time for each call, and lets it settle. */
    private static SimFleet slowFleet(int workers) {
        SimFleet fleet = new SimFleet(1, false, workers);
        fleet.daemons.values().forEach(d -> d.orders.setCost(d.loop, PASS));
        fleet.time.run(3000);
        return fleet;
    }
}
