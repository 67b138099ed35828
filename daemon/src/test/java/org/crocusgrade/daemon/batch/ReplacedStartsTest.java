package org.crocusgrade.daemon.batch;

import static org.crocusgrade.daemon.batch.LateCalls.fleetWithUnansweredStarts;
import static org.crocusgrade.daemon.batch.LateCalls.isolate;
import static org.crocusgrade.daemon.batch.LateCalls.loseStartAnswers;
import static org.crocusgrade.daemon.batch.LateCalls.setLate;
import static org.crocusgrade.daemon.batch.LateCalls.warmUp;
import static org.crocusgrade.daemon.batch.LateCalls.workers;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import java.util.stream.LongStream;
import org.crocusgrade.core.id.DaemonId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a late start that runs beside the run that replaced it: the worker has answered
 * its stop, or the run has ended, and the next incarnation carries the start out behind a cut.
 */
class ReplacedStartsTest {
    private static final int SEEDS = 30;
    private static final int ROUNDS = 3;

    /** Longer than a start can be late. */
    private static final long LASTING_TASK_MILLIS = 20_000;

    private static final double UNANSWERED = 0.5;

    /** The range of seeds can be set by {@code -Dsim.first} and {@code -Dsim.last}. */
    static List<Long> seeds() {
        long last = Long.getLong("sim.last", SEEDS);
        return LongStream.rangeClosed(Long.getLong("sim.first", 1), last).boxed().toList();
    }

    /**
     * A worker answers the stop of a start that got no answer, and lists no run of it. The worker
     * then starts again, is cut off, and its next incarnation carries the start out.
     *
     * @param lateMillis when it is carried out, after it was sent
     */
    @ParameterizedTest
    @ValueSource(longs = {7000, 9000, 12_000})
    void lateStartThatIsCarriedOutAfterItsStopWasAnsweredRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(4500);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * A run fails while the second call for its start is open, and the next incarnation of the
     * worker, which is cut off, carries that call out beside the next attempt.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void openSecondCallForAFailedRunDoesNotRunBesideTheNextAttempt(long seed) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, 1300);
        warmUp(fleet);
        fleet.workers.values().forEach(w -> w.setFailing(true));
        loseStartAnswers(fleet, 6000);
        fleet.time.run(2500);
        fleet.workers.values().forEach(w -> w.setFailing(false));
        List<SimWorker> workers = workers(fleet, 2);
        fleet.time.run(500);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        fleet.time.run(15_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * Days on which a share of the starts gets no answer, and workers start again behind a cut, in
     * any order. Tasks last longer than a start can be late, so that none is done before.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void lateStartsToWorkersThatStartAgainBehindACutRunNowhereElse(long seed) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, LASTING_TASK_MILLIS);
        for (int round = 0; round < ROUNDS; round++) {
            leaveStartsUnanswered(fleet, () -> fleet.submit(6));
            fleet.time.run(1500 + fleet.random.nextInt(5000));
            restartBehindACut(fleet);
        }
        checkAllDone(fleet, seed);
    }

    /** The same, and owners are killed in between that have stored these starts. */
    @ParameterizedTest
    @MethodSource("seeds")
    void lateStartsOfFormerOwnersToWorkersThatStartAgainBehindACutRunNowhereElse(long seed) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, LASTING_TASK_MILLIS);
        for (int round = 0; round < ROUNDS; round++) {
            leaveStartsUnanswered(fleet, () -> fleet.submit(6));
            fleet.time.run(1500 + fleet.random.nextInt(3000));
            if (fleet.random.nextBoolean()) {
                DaemonId killed = fleet.holder().name;
                fleet.kill(killed);
                fleet.time.run(fleet.random.nextInt(7000));
                fleet.boot(killed);
            }
            restartBehindACut(fleet);
        }
        checkAllDone(fleet, seed);
    }

    /** The same with long-running tasks among the others. */
    @ParameterizedTest
    @MethodSource("seeds")
    void lateStartsOfLongRunningTasksRunNowhereElse(long seed) {
        SimFleet fleet = SimFleet.withEndlessTasks(seed);
        for (int round = 0; round < ROUNDS; round++) {
            leaveStartsUnanswered(
                    fleet,
                    () -> {
                        fleet.submit(4);
                        fleet.submitLongRunning(4, 2);
                    });
            fleet.time.run(1500 + fleet.random.nextInt(5000));
            restartBehindACut(fleet);
        }
        assertThat("seed " + seed, fleet.checks.violations(), empty());
    }

    /**
     * The owner that got no answer to a start is killed, and the worker starts again behind a cut
     * when the next owner has taken its runs over.
     */
    @ParameterizedTest
    @ValueSource(longs = {7000, 9000, 12_000})
    void lateStartThatTheFormerOwnerHasStoredRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(1500);
        fleet.kill(fleet.holder().name);
        fleet.time.run(4900);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
    }

    private static void leaveStartsUnanswered(SimFleet fleet, Runnable submit) {
        fleet.daemons.values().forEach(d -> d.orders.setLateInTransit());
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(UNANSWERED));
        submit.run();
        fleet.time.run(200);
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
    }

    private static void restartBehindACut(SimFleet fleet) {
        List<SimWorker> workers = workers(fleet, 1 + fleet.random.nextInt(2));
        isolate(fleet, workers);
        fleet.time.run(fleet.random.nextInt(500));
        workers.forEach(SimWorker::restart);
        if (fleet.random.nextBoolean()) {
            workers.forEach(fleet::register);
        }
        fleet.time.run(3000 + fleet.random.nextInt(6000));
        isolate(fleet, List.of());
        workers.forEach(fleet::register);
        fleet.time.run(20_000);
    }

    private static void checkAllDone(SimFleet fleet, long seed) {
        assertThat("seed " + seed, fleet.checks.violations(), empty());
        fleet.time.run(60_000);
        assertThat("seed " + seed, fleet.unfinished(), empty());
        assertThat("seed " + seed, fleet.checks.violations(), empty());
    }
}
