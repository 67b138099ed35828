package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/**
 * Replays workers that join a pool whose tasks wait, while all workers send heartbeats to the list
 * that the owner watches.
 */
class JoiningWorkersTest {
    /** A worker that joins is to take tasks within this time, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 300;

    private static final long HEARTBEAT_MILLIS = 1500;

    @Test
    void aWorkerThatJoinsTakesWaitingTasks() {
        for (int offset = 0; offset < 20; offset++) {
            SimFleet fleet = new SimFleet(1);
            for (SimWorker worker : fleet.workers.values()) {
                beat(fleet, worker, 1 + fleet.random.nextInt((int) HEARTBEAT_MILLIS));
            }
            fleet.submit(60);
            fleet.submit(60);
            fleet.time.run(200 + offset * 31);
            SimWorker joined = fleet.join("joined");
            long since = fleet.time.millis();
            while (joined.report().running().isEmpty()) {
                fleet.time.run(5);
                assertThat(fleet.time.millis() - since, lessThanOrEqualTo(MAX_IDLE_MILLIS));
            }
            assertThat(fleet.checks.violations(), empty());
        }
    }

    private static void beat(SimFleet fleet, SimWorker worker, long afterMillis) {
        fleet.time.afterMillis(
                afterMillis,
                () -> {
                    fleet.register(worker);
                    beat(fleet, worker, HEARTBEAT_MILLIS);
                });
    }
}
