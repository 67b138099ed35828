package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.crocusgrade.core.id.DaemonId;
import org.junit.jupiter.api.Test;

/**
 * A task crashes each worker that starts it, while its pool changes hands. Guards against a count
 * of crashes that begins anew with an owner, and against neighbours that are given up.
 */
class CrashingTasksTakeOverTest {
    /** A task may be started twice after it has crashed three workers. */
    private static final int MAX_CRASHES = 5;

    private static final long DAY_MILLIS = 40_000;

    private final SimFleet fleet = new SimFleet(1);

    @Test
    void taskIsGivenUpAndItsNeighboursComplete() {
        fleet.submitCrashing();
        for (int i = 0; i < 20; i++) {
            fleet.submit(4);
            fleet.time.run(500);
        }
        check();
        assertThat(fleet.checks.crashes().values(), everyItem(lessThanOrEqualTo(3)));
    }

    @Test
    void crashesCountAfterATakeOver() {
        fleet.submitCrashing();
        afterEachCrash(() -> restart(fleet.holder().name));
        check();
    }

    @Test
    void crashesCountAfterAStop() {
        fleet.submitCrashing();
        afterEachCrash(
                () -> {
                    SimFleet.Daemon holder = fleet.holder();
                    holder.loop.execute(holder.node::leave);
                    fleet.time.run(2000);
                    restart(holder.name);
                });
        check();
    }

    @Test
    void crashesCountAfterAllDaemonsLostPower() {
        fleet.submitCrashing();
        afterEachCrash(() -> List.copyOf(fleet.daemons.keySet()).forEach(this::restart));
        check();
    }

    @Test
    void crashesCountAlthoughTheStoreIsDownAtEach() {
        fleet.submitCrashing();
        afterEachCrash(
                () -> {
                    fleet.store.setDown(true);
                    fleet.time.run(3000);
                    fleet.store.setDown(false);
                });
        check();
    }

    /** Does something 300 ms after each crash, when it has been stored if the store answers. */
    private void afterEachCrash(Runnable step) {
        int seen = 0;
        for (long t = 0; t < DAY_MILLIS; t += 10) {
            fleet.time.run(10);
            int crashes = fleet.checks.crashes().values().stream().mapToInt(c -> c).sum();
            if (crashes > seen) {
                seen = crashes;
                fleet.submit(3);
                fleet.time.run(300);
                step.run();
            }
        }
    }

    private void restart(DaemonId name) {
        fleet.kill(name);
        fleet.boot(name);
    }

    private void check() {
        fleet.time.run(DAY_MILLIS);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.crashes().values(), everyItem(lessThanOrEqualTo(MAX_CRASHES)));
        assertThat(fleet.checks.crashes().values(), everyItem(greaterThanOrEqualTo(1)));
    }
}
