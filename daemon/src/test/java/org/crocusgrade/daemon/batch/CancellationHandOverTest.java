package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.junit.jupiter.api.Test;

/**
 * A pool's owner loses its duty while a cancellation waits for the store. Guards against a caller
 * that gets no answer.
 */
class CancellationHandOverTest {
    @Test
    void cancellationThatWaitsForTheStoreIsAnswered() {
        SimFleet fleet = new SimFleet(1);
        SubmissionId id = fleet.submit(60);
        fleet.time.run(200);
        fleet.store.setDown(true);
        List<Outcome> outcomes = new ArrayList<>();
        fleet.holder().call(Operation.CANCEL, id, new byte[0], r -> outcomes.add(r.outcome()));
        fleet.time.run(1000);
        assertThat(outcomes, empty());
        fleet.store.revokeAll();
        fleet.store.setDown(false);
        fleet.time.run(6000);
        assertThat(outcomes, hasSize(1));
        assertThat(fleet.checks.violations(), empty());
    }
}
