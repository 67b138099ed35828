package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueRoute.AdvicePolicy;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.StoredSubmission;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepted submissions that never run on because their queue, whose policy they
 * need, was removed and every daemon has been restarted since.
 */
class RemovedQueueTest {
    private static final int TASKS = 100;

    @Test
    void submissionOfARemovedQueueWithAdviceRunsOnAfterRestarts() {
        SimFleet fleet = new SimFleet(1, true);
        fleet.submit(TASKS);
        fleet.time.run(500);
        configure(fleet, "2 " + SimFormat.NO_QUEUE);
        restartInTurn(fleet);
        fleet.time.run(20_000);
        assertThat(fleet.accepted.keySet().size(), greaterThan(0));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    /** The daemons restart twice, so that the second ones know the queue from a record only. */
    @Test
    void queueThatIsAddedAgainIsUsedAsItIsNow() {
        SimFleet fleet = new SimFleet(1, true);
        fleet.submit(TASKS);
        fleet.time.run(500);
        configure(fleet, "2 " + SimFormat.NO_QUEUE);
        restartInTurn(fleet);
        configure(fleet, "3");
        fleet.submit(TASKS);
        restartInTurn(fleet);
        fleet.time.run(20_000);
        assertThat(fleet.accepted.keySet().size(), greaterThan(1));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void recordKeepsThePolicyAndOneOfAnEarlierVersionHasNone() throws Exception {
        QueueRoute queue =
                new QueueRoute(
                        SimFleet.QUEUE,
                        "",
                        "",
                        SimFleet.SERVICE,
                        2,
                        4,
                        1.5,
                        Duration.ofSeconds(7),
                        Duration.ofSeconds(7),
                        Optional.of(
                                new AdvicePolicy(
                                        Duration.ofMillis(1),
                                        Duration.ofMillis(2),
                                        Duration.ofMillis(3))),
                        false);
        byte[] record = RecordCodec.submission(queue, Optional.empty(), Instant.EPOCH, new byte[1]);
        StoredSubmission stored = RecordCodec.readSubmission(record);
        assertThat(RecordCodec.queue(stored), is(Optional.of(queue)));
        StoredSubmission earlier = stored.toBuilder().clearPolicy().build();
        assertThat(RecordCodec.queue(earlier), is(Optional.empty()));
    }

    private static void configure(SimFleet fleet, String config) {
        fleet.store.write("op/config", config.getBytes(StandardCharsets.UTF_8));
        fleet.time.run(300);
    }

    private static void restartInTurn(SimFleet fleet) {
        for (DaemonId name : List.copyOf(fleet.daemons.keySet())) {
            fleet.kill(name);
            fleet.time.run(300);
            fleet.boot(name);
            fleet.time.run(1000);
        }
    }
}
