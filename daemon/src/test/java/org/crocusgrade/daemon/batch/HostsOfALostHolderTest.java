package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.crocusgrade.peer.proto.WorkerStatusMessage;
import org.junit.jupiter.api.Test;

/**
 * The holder of the fleet duty is lost while the hosts that it has moved are on their way. Guards
 * against hosts that arrive and are kept empty, although nothing can happen to them any more.
 */
class HostsOfALostHolderTest {
    private static final int WORKERS = 4;

    /** Time from the arrival of a host, with a holder of the duty, until it may take tasks. */
    private static final long MAX_IDLE_MILLIS = 1200;

    @Test
    void hostsThatHaveArrivedMayTakeTasksAfterATakeOver() {
        SimFleet fleet = SimFleet.withStandbyHosts(1, WORKERS);
        fleet.submitLongRunning(WORKERS, 1);
        fleet.time.run(1000);
        List.copyOf(fleet.workers.values()).forEach(fleet::lose);
        int before = fleet.workers.size();
        while (fleet.hosts.standbyHosts() == WORKERS) {
            fleet.time.run(10);
            assertThat(fleet.time.millis(), lessThan(30_000L));
        }
        fleet.time.run(50);
        fleet.kill(fleet.holder(Duty.FLEET).name);
        while (fleet.workers.size() == before || !fleet.hasTakenOver(Duty.FLEET)) {
            fleet.time.run(10);
            assertThat(fleet.time.millis(), lessThan(30_000L));
        }
        fleet.time.run(MAX_IDLE_MILLIS);
        long evacuated =
                fleet.holder().node.poolStatus(SimFleet.SERVICE).stream()
                        .filter(WorkerStatusMessage::getEvacuating)
                        .count();
        assertThat(evacuated, is(0L));
        fleet.time.run(10_000);
        assertThat(fleet.checks.violations(), is(empty()));
    }
}
