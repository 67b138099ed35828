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
 * Simulates daemons, a store and workers under injected faults, on a simulated clock. Guards
 * against tasks that run twice or after they were refused, and against accepted submissions that do
 * not complete, when processes, links, the store or workers fail at any moment.
 */
class FaultInjectionTest {
    private static final int SEEDS = 60;

    /**
     * Divides the number of seeds that are also run with a queue whose policy allows only some
     * workers.
     */
    private static final int ADVISED_SEED_DIVISOR = 4;

    /** Divides the number of seeds that are also run with slow tasks and copies. */
    private static final int COPY_SEED_DIVISOR = 4;

    private static final int ROUNDS = 30;

    /** In one of so many rounds a submission is made that crashes workers. */
    private static final int CRASHING_ROUNDS = 5;

    private static final long ROUND_MILLIS = 1000;
    private static final long RECOVERY_MILLIS = 40_000;

    /**
     * Seeds that have failed: 1768, an acknowledgement for a worker's last incarnation reached the
     * next one; 1955, an owner that woke from a freeze ordered a worker that had been born again.
     */
    private static final List<Long> REGRESSION_SEEDS = List.of(1768L, 1955L);

    /** The range of seeds can be set by {@code -Dsim.first} and {@code -Dsim.last}. */
    static List<Long> seeds() {
        List<Long> seeds = new ArrayList<>();
        long last = Long.getLong("sim.last", SEEDS);
        for (long seed = Long.getLong("sim.first", 1); seed <= last; seed++) {
            seeds.add(seed);
        }
        seeds.addAll(REGRESSION_SEEDS);
        return seeds;
    }

    @Test
    void allSubmissionsCompleteWithoutFaults() {
        runWithoutFaults(new SimFleet(1));
    }

    @Test
    void tasksOfAnUnresponsiveWorkerStartElsewhereAfterTheirLeasesExpire() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(30);
        fleet.time.run(300);
        fleet.workers.values().iterator().next().setUnresponsive(true);
        fleet.time.run(9000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void silentLinksAreReplaced() {
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

    /**
     * The daemon that a caller uses is cut off from the others: callers must not wait for an owner
     * that cannot be reached.
     */
    @Test
    void submissionsAreRefusedImmediatelyWhileTheOwnerIsUnreachable() {
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
        assertThat(
                "it may have been accepted", outcomes, contains(SubmissionReply.Outcome.NO_ANSWER));
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
    void aNewOwnerReportsNoWorkerThatIsNotFenced() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(120);
        fleet.submit(120);
        fleet.time.run(200);
        SimFleet.Daemon leaving = fleet.holder();
        leaving.loop.execute(leaving.node::leave);
        int reported = 0;
        for (int i = 0; i < 3000; i++) {
            fleet.time.run(1);
            for (SimFleet.Daemon daemon : fleet.daemons.values()) {
                reported += fleet.checkReportedRuns(daemon);
            }
        }
        assertThat(reported, greaterThan(0));
    }

    @Test
    void allSubmissionsCompleteWithoutFaultsIfOnlySomeWorkersAreAllowed() {
        runWithoutFaults(new SimFleet(1, true));
    }

    @ParameterizedTest
    @MethodSource("advisedSeeds")
    void guaranteesHoldUnderFaultsIfOnlySomeWorkersAreAllowed(long seed) {
        runWithFaults(new SimFleet(seed, true), seed);
    }

    static List<Long> advisedSeeds() {
        List<Long> seeds = seeds();
        return seeds.subList(0, Math.max(1, seeds.size() / ADVISED_SEED_DIVISOR));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void guaranteesHoldUnderFaults(long seed) {
        runWithFaults(new SimFleet(seed), seed);
    }

    /**
     * Half of the submissions allow copies. Guards against a third run of a task, or a second one
     * of a task that allows no copies, after lost answers and changes of the owner.
     */
    @ParameterizedTest
    @MethodSource("copySeeds")
    void guaranteesHoldUnderFaultsWithCopies(long seed) {
        SimFleet fleet = new SimFleet(seed);
        fleet.workers.values().forEach(SimWorker::setSlowRuns);
        for (int round = 0; round < ROUNDS; round++) {
            fleet.submit(1 + fleet.random.nextInt(6));
            fleet.submitSpeculative(1 + fleet.random.nextInt(6));
            fleet.time.run(ROUND_MILLIS);
        }
        assertThat("seed " + seed, fleet.checks.copies(), greaterThan(0));
        for (int round = 0; round < ROUNDS; round++) {
            fleet.submitSpeculative(1 + fleet.random.nextInt(6));
            runRound(fleet);
        }
        recoverAndCheck(fleet, seed);
    }

    /**
     * Some submissions crash each worker that starts them. Guards against a count of crashes that
     * is lost with an owner, an incarnation or a write, and against innocent submissions that are
     * given up beside them.
     */
    @ParameterizedTest
    @MethodSource("copySeeds")
    void guaranteesHoldUnderFaultsWithTasksThatCrashWorkers(long seed) {
        SimFleet fleet = new SimFleet(seed);
        for (int round = 0; round < ROUNDS; round++) {
            if (round % CRASHING_ROUNDS == 0) {
                fleet.submitCrashing();
            }
            runRound(fleet);
        }
        recoverAndCheck(fleet, seed);
    }

    static List<Long> copySeeds() {
        List<Long> seeds = seeds();
        return seeds.subList(0, Math.max(1, seeds.size() / COPY_SEED_DIVISOR));
    }

    private static void runWithoutFaults(SimFleet fleet) {
        for (int i = 0; i < 10; i++) {
            fleet.submit(5);
            fleet.time.run(300);
        }
        fleet.time.run(5000);
        assertThat(fleet.accepted.size(), is(10));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
        assertThat("each task is started once", fleet.checks.starts(), is(50));
    }

    private static void runWithFaults(SimFleet fleet, long seed) {
        for (int round = 0; round < ROUNDS; round++) {
            runRound(fleet);
        }
        recoverAndCheck(fleet, seed);
    }

    private static void runRound(SimFleet fleet) {
        fleet.submit(1 + fleet.random.nextInt(8));
        injectFault(fleet);
        fleet.time.run(ROUND_MILLIS);
    }

    private static void recoverAndCheck(SimFleet fleet, long seed) {
        clearFaults(fleet);
        fleet.time.run(RECOVERY_MILLIS);
        assertThat("seed " + seed, fleet.checks.violations(), empty());
        assertThat("seed " + seed, fleet.unfinished(), empty());
        assertThat("seed " + seed, fleet.checks.violations(), empty());
        assertThat("seed " + seed, fleet.accepted.size(), greaterThan(0));
    }

    private static void injectFault(SimFleet fleet) {
        SimWorker worker =
                List.copyOf(fleet.workers.values()).get(fleet.random.nextInt(fleet.workers.size()));
        SimFleet.Daemon holder = fleet.holder();
        int kind = fleet.random.nextInt(14);
        fleet.log("fault " + kind + " holder " + holder.name + " worker " + worker.id);
        switch (kind) {
            case 0 -> killAndRestart(fleet, holder.name, 500 + fleet.random.nextInt(4000));
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
                worker.setUnresponsive(true);
                fleet.time.afterMillis(6000, () -> worker.setUnresponsive(false));
            }
            case 6, 7 -> {
                if (kind == 6) {
                    worker.crash();
                } else {
                    worker.crashVisibly();
                }
                fleet.time.afterMillis(
                        500 + fleet.random.nextInt(4000),
                        () -> {
                            worker.restart();
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
                    killAndRestart(fleet, name, 500 + fleet.random.nextInt(1500));
                }
            }
            default -> {
                // No fault in this round.
            }
        }
    }

    private static void killAndRestart(SimFleet fleet, DaemonId name, long millis) {
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

    private static void clearFaults(SimFleet fleet) {
        fleet.time.run(8000);
        fleet.store.setDown(false);
        fleet.store.setLostShare(0);
        fleet.daemons.values().forEach(d -> d.client.setCut(false));
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
        for (SimWorker worker : fleet.workers.values()) {
            worker.setUnresponsive(false);
            fleet.register(worker);
        }
    }
}
