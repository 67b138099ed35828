package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.crocusgrade.core.id.WorkerId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a task whose worker only its owner has lost sight of: the next
 * owner, on the other side of a partition, extends the lease that the owner takes for expired.
 */
class PartitionTest {
    private static final int PHASES = 16;
    private static final int SEEDS = 20;
    private static final int ROUNDS = 20;
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
            cut(fleet, former, Set.of(idleWorker(fleet)));
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
        cut(fleet, second, Set.of(idleWorker(fleet)));
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
        heal(fleet);
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.holder().name, is(not(second.name)));
    }

    /** Partitions of all kinds, beside the loss of owners; one seed is one day. */
    @ParameterizedTest
    @MethodSource("seeds")
    void partitionsInSeriesStartNoTaskTwice(long seed) {
        SimFleet fleet = new SimFleet(seed);
        for (int round = 0; round < ROUNDS; round++) {
            fleet.submit(4 + fleet.random.nextInt(8));
            if (fleet.random.nextInt(3) == 0) {
                partition(fleet);
            }
            if (fleet.random.nextInt(6) == 0) {
                killAndRestart(fleet, fleet.holder());
            }
            fleet.time.run(500 + fleet.random.nextInt(1000));
        }
        fleet.time.run(12_000);
        heal(fleet);
        fleet.time.run(40_000);
        assertThat("seed " + seed, fleet.checks.violations(), empty());
        assertThat("seed " + seed, fleet.unfinished(), empty());
    }

    private static void killAndRestart(SimFleet fleet, SimFleet.Daemon lost) {
        fleet.kill(lost.name);
        fleet.time.afterMillis(
                1000 + fleet.random.nextInt(2000),
                () -> {
                    if (fleet.daemons.get(lost.name) == lost) {
                        fleet.boot(lost.name);
                    }
                });
    }

    static List<Long> seeds() {
        long last = Long.getLong("sim.last", SEEDS);
        return LongStream.rangeClosed(Long.getLong("sim.first", 1), last).boxed().toList();
    }

    private static void partition(SimFleet fleet) {
        Set<WorkerId> workers = new HashSet<>();
        for (WorkerId worker : fleet.workers.keySet()) {
            if (fleet.random.nextBoolean()) {
                workers.add(worker);
            }
        }
        cut(fleet, fleet.holder(), workers);
        fleet.time.afterMillis(1000 + fleet.random.nextInt(9000), () -> heal(fleet));
    }

    private static WorkerId idleWorker(SimFleet fleet) {
        return fleet.workers.values().stream()
                .filter(w -> w.report().running().isEmpty())
                .map(w -> w.id)
                .findFirst()
                .orElseThrow();
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
