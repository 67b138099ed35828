package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.Set;
import org.crocusgrade.core.id.WorkerId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a task whose worker only its owner has lost sight of: the next
 * owner, on the other side of a partition, extends the lease that the owner takes for expired.
 */
class PartitionTest {
    private static final int PHASES = 16;
    private static final long PHASE_MILLIS = 100;

    /** The owner is cut off from the store, the other daemons and all workers but an idle one. */
    @ParameterizedTest
    @ValueSource(longs = {4000, 12_000, 25_000})
    void ownerOnTheSmallSideOfAPartitionDoesNotReplaceRuns(long cutMillis) {
        for (int phase = 0; phase < PHASES; phase++) {
            SimFleet fleet = SimFleet.withEndlessTasks(1);
            fleet.submitLongRunning(3, 1);
            fleet.time.run(2000 + phase * PHASE_MILLIS);
            SimFleet.Daemon former = fleet.holder();
            SimWorker idle =
                    fleet.workers.values().stream()
                            .filter(w -> w.report().running().isEmpty())
                            .findFirst()
                            .orElseThrow();
            cut(fleet, former, Set.of(idle.id));
            fleet.time.run(cutMillis);
            assertThat("phase " + phase, fleet.checks.violations(), empty());
            heal(fleet);
            fleet.time.run(20_000);
            assertThat("phase " + phase, fleet.checks.violations(), empty());
        }
    }

    /** A new owner is cut off as soon as it has taken over, and the next one is in its place. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200, 400, 600, 800})
    void newOwnerThatIsCutOffDoesNotTakeItsPoolForSettled(long afterMillis) {
        SimFleet fleet = SimFleet.withEndlessTasks(1);
        fleet.submitLongRunning(3, 1);
        fleet.time.run(2000);
        SimFleet.Daemon first = fleet.holder();
        fleet.kill(first.name);
        SimFleet.Daemon second = fleet.holder();
        while (second == first || !fleet.hasTakenOver(Duty.pool(SimFleet.SERVICE))) {
            fleet.time.run(10);
            second = fleet.holder();
        }
        fleet.time.run(afterMillis);
        SimWorker idle =
                fleet.workers.values().stream()
                        .filter(w -> w.report().running().isEmpty())
                        .findFirst()
                        .orElseThrow();
        cut(fleet, second, Set.of(idle.id));
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
        heal(fleet);
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.holder().name, is(not(second.name)));
    }

    /** Splits the fleet: one daemon with the given workers, and all others with the store. */
    private static void cut(SimFleet fleet, SimFleet.Daemon daemon, Set<WorkerId> workers) {
        for (SimFleet.Daemon other : fleet.daemons.values()) {
            other.orders.setCut(workers);
        }
        Set<WorkerId> rest = new HashSet<>(fleet.workers.keySet());
        rest.removeAll(workers);
        daemon.orders.setCut(rest);
        daemon.client.setCut(true);
        daemon.cutLinks(true);
    }

    private static void heal(SimFleet fleet) {
        for (SimFleet.Daemon daemon : fleet.daemons.values()) {
            daemon.orders.setCut(Set.of());
            daemon.client.setCut(false);
            daemon.cutLinks(false);
        }
    }
}
