package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.crocusgrade.core.id.DaemonId;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that are done and start again, because a new owner took its pool for settled
 * before the workers, which list only some ends at a time, had listed all of them.
 */
class EndsInPagesTest {
    private static final int TASKS = 100;

    @Test
    void doneTasksOfALaterPageDoNotStartAgain() {
        SimFleet fleet = fleetWithPages(1);
        fleet.submit(TASKS);
        fleet.time.run(300);
        replaceDaemons(fleet, 6000);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
        assertThat("each task is started once", fleet.checks.starts(), is(TASKS));
    }

    /** The second owner takes over while the first one reads the ends. */
    @Test
    void doneTasksDoNotStartAgainAfterTwoTakeOvers() {
        SimFleet fleet = fleetWithPages(1);
        fleet.submit(TASKS);
        fleet.time.run(300);
        replaceDaemons(fleet, 4000);
        fleet.time.run(700);
        replaceDaemons(fleet, 100);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
    }

    /** Guards against a pool that waits for ever for the ends of a worker that is lost. */
    @Test
    void workerThatIsLostBetweenTwoPagesDoesNotHoldThePool() {
        SimFleet fleet = fleetWithPages(1);
        fleet.submit(TASKS);
        fleet.time.run(300);
        replaceDaemons(fleet, 6000);
        fleet.time.run(600);
        fleet.workers.values().iterator().next().setUnresponsive(true);
        fleet.time.run(30_000);
        assertThat(fleet.unfinished(), empty());
    }

    /** The workers end runs in each interval in which the owner reads their ends. */
    @Test
    void poolSettlesAlthoughRunsEndWhileEndsAreRead() {
        SimFleet fleet = fleetWithPages(1);
        for (int i = 0; i < 20; i++) {
            fleet.submit(TASKS);
        }
        fleet.time.run(300);
        fleet.kill(fleet.holder().name);
        fleet.time.run(60_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
    }

    private static SimFleet fleetWithPages(int endsAtATime) {
        SimFleet fleet = new SimFleet(1);
        fleet.workers.values().forEach(w -> w.setMaxListedEnds(endsAtATime));
        return fleet;
    }

    private static void replaceDaemons(SimFleet fleet, long downMillis) {
        List<DaemonId> names = List.copyOf(fleet.daemons.keySet());
        names.forEach(fleet::kill);
        fleet.time.run(downMillis);
        names.forEach(fleet::boot);
    }
}
