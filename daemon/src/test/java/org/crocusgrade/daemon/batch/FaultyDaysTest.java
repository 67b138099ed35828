package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.DaemonId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Whole days of daemons, store and workers under faults, on a simulated clock: no task runs twice,
 * nothing that was refused runs, and all that was accepted ends as completed.
 */
class FaultyDaysTest {
    private static final int SEEDS = 60;

    /** One seed in so many is also played with a queue whose policy allows only some workers. */
    private static final int ADVISED_PART = 4;

    private static final int ROUNDS = 30;
    private static final long ROUND_MILLIS = 1000;
    private static final long CALM_MILLIS = 40_000;

    /** Other seeds can be asked for by {@code -Dsim.first} and {@code -Dsim.last}. */
    static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        long last = Long.getLong("sim.last", SEEDS);
        for (long seed = Long.getLong("sim.first", 1); seed <= last; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    @Test
    void aCalmDayServesAll() {
        playCalmDay(new SimFleet(1));
    }

    @Test
    void tasksOfADarkWorkerStartElsewhereOnceTheirLeasesHaveRunOut() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(30);
        fleet.time.run(300);
        fleet.workers.values().iterator().next().setDark(true);
        fleet.time.run(9000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.breaches(), empty());
    }

    @Test
    void linksThatFellSilentAreReplaced() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(2);
        fleet.time.run(2000);
        fleet.daemons.values().forEach(SimFleet.Daemon::silenceLinks);
        for (int i = 0; i < 8; i++) {
            fleet.submit(2);
            fleet.time.run(500);
        }
        fleet.time.run(2000);
        int before = fleet.accepted.size();
        for (int i = 0; i < 10; i++) {
            fleet.submit(2);
        }
        fleet.time.run(200);
        assertThat(fleet.accepted.size(), is(before + 10));
    }

    /** A caller's daemon is cut off from the others: nobody waits for an owner out of reach. */
    @Test
    void aDaemonThatDoesNotReachTheOwnerRefusesAtOnce() {
        SimFleet fleet = new SimFleet(1);
        SimFleet.Daemon cut =
                fleet.daemons.values().stream()
                        .filter(d -> d != fleet.holder())
                        .findFirst()
                        .orElseThrow();
        List<SubmissionReply.Outcome> outcomes = new ArrayList<>();
        cut.cutLinks(true);
        cut.submit(fleet.nextId(), r -> outcomes.add(r.outcome()));
        fleet.time.run(2500);
        assertThat("it may have been taken", outcomes, contains(SubmissionReply.Outcome.NO_ANSWER));
        outcomes.clear();
        cut.submit(fleet.nextId(), r -> outcomes.add(r.outcome()));
        fleet.time.run(20);
        assertThat(outcomes, contains(SubmissionReply.Outcome.REFUSED));
        cut.cutLinks(false);
        fleet.time.run(2500);
        outcomes.clear();
        cut.submit(fleet.nextId(), r -> outcomes.add(r.outcome()));
        fleet.time.run(100);
        assertThat(outcomes, contains(SubmissionReply.Outcome.DONE));
    }

    @Test
    void aNewOwnerTellsOfNoWorkerThatItHasNotAsked() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(120);
        fleet.submit(120);
        fleet.time.run(200);
        SimFleet.Daemon leaving = fleet.holder();
        leaving.loop.execute(leaving.node::leave);
        int told = 0;
        for (int i = 0; i < 3000; i++) {
            fleet.time.run(1);
            for (SimFleet.Daemon daemon : fleet.daemons.values()) {
                told += fleet.checkStatus(daemon);
            }
        }
        assertThat(told, greaterThan(0));
    }

    @Test
    void aCalmDayServesAllWhereOnlySomeWorkersAreAllowed() {
        playCalmDay(new SimFleet(1, true));
    }

    @ParameterizedTest
    @MethodSource("advisedSeeds")
    void aDayOfFaultsKeepsThePromisesWhereOnlySomeWorkersAreAllowed(long seed) {
        playDay(new SimFleet(seed, true), seed);
    }

    static List<Long> advisedSeeds() {
        List<Long> seeds = seeds();
        return seeds.subList(0, Math.max(1, seeds.size() / ADVISED_PART));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aDayOfFaultsKeepsThePromises(long seed) {
        playDay(new SimFleet(seed), seed);
    }

    private static void playCalmDay(SimFleet fleet) {
        for (int i = 0; i < 10; i++) {
            fleet.submit(5);
            fleet.time.run(300);
        }
        fleet.time.run(5000);
        assertThat(fleet.accepted.size(), is(10));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.breaches(), empty());
        assertThat("each task is started once", fleet.checks.starts(), is(50));
    }

    private static void playDay(SimFleet fleet, long seed) {
        for (int round = 0; round < ROUNDS; round++) {
            fleet.submit(1 + fleet.random.nextInt(8));
            fault(fleet);
            fleet.time.run(ROUND_MILLIS);
        }
        heal(fleet);
        fleet.time.run(CALM_MILLIS);
        assertThat("seed " + seed, fleet.checks.breaches(), empty());
        assertThat("seed " + seed, fleet.unfinished(), empty());
        assertThat("seed " + seed, fleet.checks.breaches(), empty());
        assertThat("seed " + seed, fleet.accepted.size(), greaterThan(0));
    }

    private static void fault(SimFleet fleet) {
        SimWorker worker =
                List.copyOf(fleet.workers.values()).get(fleet.random.nextInt(fleet.workers.size()));
        SimFleet.Daemon holder = fleet.holder();
        int kind = fleet.random.nextInt(14);
        fleet.note("fault " + kind + " holder " + holder.name + " worker " + worker.id);
        switch (kind) {
            case 0 -> killFor(fleet, holder.name, 500 + fleet.random.nextInt(4000));
            case 1 -> holder.loop.freeze(1000 + fleet.random.nextInt(6000));
            case 2 -> {
                holder.client.setCut(true);
                fleet.time.afterMillis(5000, () -> holder.client.setCut(false));
            }
            case 3 -> {
                fleet.store.setDown(true);
                fleet.time.afterMillis(4500, () -> fleet.store.setDown(false));
            }
            case 4 -> {
                fleet.store.setLostShare(0.35);
                fleet.time.afterMillis(4500, () -> fleet.store.setLostShare(0));
            }
            case 5 -> {
                worker.setDark(true);
                fleet.time.afterMillis(6000, () -> worker.setDark(false));
            }
            case 6, 7 -> {
                worker.crash();
                fleet.time.afterMillis(
                        500 + fleet.random.nextInt(4000),
                        () -> {
                            worker.begin();
                            fleet.register(worker);
                        });
            }
            case 8, 9 -> {
                fleet.daemons.values().forEach(d -> d.orders.setLateShare(0.2));
                fleet.time.afterMillis(
                        3000, () -> fleet.daemons.values().forEach(d -> d.orders.setLateShare(0)));
            }
            case 10 -> fleet.store.revokeAll();
            case 11 -> {
                for (DaemonId name : List.copyOf(fleet.daemons.keySet())) {
                    killFor(fleet, name, 500 + fleet.random.nextInt(1500));
                }
            }
            default -> {
                // A calm second.
            }
        }
    }

    private static void killFor(SimFleet fleet, DaemonId name, long millis) {
        SimFleet.Daemon killed = fleet.daemons.get(name);
        fleet.kill(name);
        fleet.time.afterMillis(
                millis,
                () -> {
                    if (fleet.daemons.get(name) == killed) {
                        fleet.boot(name);
                    }
                });
    }

    private static void heal(SimFleet fleet) {
        fleet.time.run(8000);
        fleet.store.setDown(false);
        fleet.store.setLostShare(0);
        fleet.daemons.values().forEach(d -> d.client.setCut(false));
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
        for (SimWorker worker : fleet.workers.values()) {
            worker.setDark(false);
            fleet.register(worker);
        }
    }
}
