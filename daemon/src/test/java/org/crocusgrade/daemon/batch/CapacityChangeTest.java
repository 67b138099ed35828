package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.crocusgrade.core.id.WorkerId;
import org.junit.jupiter.api.Test;

/**
 * The capacity of a worker shrinks and grows again while it runs, and the worker starts whatever it
 * is told. Guards against starts beyond the capacity that the worker reports, and against room that
 * is never used again.
 */
class CapacityChangeTest {
    private static final int SMALL = 2000;
    private static final int MILLI_CORES_PER_TASK = 1000;

    /** The latest time after the report of a change at which starts must reflect it. */
    private static final long MAX_DELAY_MILLIS = 3000;

    private final SimFleet fleet = new SimFleet(1);
    private final SimWorker worker = fleet.workers.get(new WorkerId("w0"));

    @Test
    void noRunStartsBeyondTheShrunkCapacity() {
        keepFull(2000);
        resize(SMALL);
        keepFull(MAX_DELAY_MILLIS);
        for (int i = 0; i < 50; i++) {
            assertThat(demand(), lessThanOrEqualTo(SMALL));
            keepFull(100);
        }
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void roomThatIsBackIsUsed() {
        keepFull(2000);
        resize(SMALL);
        keepFull(MAX_DELAY_MILLIS);
        resize(SimFleet.CAPACITY.milliCores());
        keepFull(MAX_DELAY_MILLIS);
        assertThat(demand(), greaterThan(SMALL));
    }

    @Test
    void aNewOwnerKnowsTheShrunkCapacity() {
        keepFull(2000);
        resize(SMALL);
        fleet.time.run(MAX_DELAY_MILLIS);
        fleet.kill(fleet.holder().name);
        keepFull(8000);
        for (int i = 0; i < 30; i++) {
            assertThat(demand(), lessThanOrEqualTo(SMALL));
            keepFull(100);
        }
        assertThat(fleet.checks.violations(), empty());
    }

    private void resize(long milliCores) {
        worker.resize(milliCores);
        fleet.register(worker);
    }

    private int demand() {
        return worker.report().running().size() * MILLI_CORES_PER_TASK;
    }

    /** Submits more tasks than the workers have room for. */
    private void keepFull(long millis) {
        for (long t = 0; t < millis; t += 100) {
            fleet.submit(8);
            fleet.time.run(100);
        }
    }
}
