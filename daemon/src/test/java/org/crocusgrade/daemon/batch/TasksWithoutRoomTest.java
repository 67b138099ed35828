package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A pool loses a worker for good, and no other has room for its long-running task. Guards against a
 * task that stands still while hosts are on standby.
 */
class TasksWithoutRoomTest {
    private static final int WORKERS = 4;

    /** A long-running task is to run again within this time, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 6000;

    @Test
    void aHostOnStandbyTakesTheTask() {
        SimFleet fleet = startOnAllWorkers();
        for (SimWorker worker : List.copyOf(fleet.workers.values())) {
            fleet.lose(worker);
            fleet.time.run(MAX_WAIT_MILLIS);
            assertThat("after the loss of " + worker.id, running(fleet), is(WORKERS));
        }
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void theTaskGetsAHostAlthoughTheOwnerAndTheHolderOfTheFleetDutyFail() {
        SimFleet fleet = startOnAllWorkers();
        List.copyOf(fleet.workers.values()).forEach(fleet::lose);
        fleet.time.run(300);
        fleet.kill(fleet.holder().name);
        fleet.kill(fleet.holder(Duty.FLEET).name);
        fleet.time.run(2 * MAX_WAIT_MILLIS);
        assertThat(running(fleet), is(WORKERS));
        assertThat(fleet.checks.violations(), empty());
    }

    private static SimFleet startOnAllWorkers() {
        SimFleet fleet = SimFleet.withStandbyHosts(1, WORKERS + 2);
        fleet.submitLongRunning(WORKERS, 1);
        fleet.time.run(1000);
        assertThat(running(fleet), is(WORKERS));
        return fleet;
    }

    private static int running(SimFleet fleet) {
        return fleet.workers.values().stream().mapToInt(w -> w.report().running().size()).sum();
    }
}
