package org.crocusgrade.daemon.batch;

import static org.crocusgrade.daemon.batch.LateCalls.fleetWithUnansweredStarts;
import static org.crocusgrade.daemon.batch.LateCalls.isolate;
import static org.crocusgrade.daemon.batch.LateCalls.loseStartAnswers;
import static org.crocusgrade.daemon.batch.LateCalls.setLate;
import static org.crocusgrade.daemon.batch.LateCalls.warmUp;
import static org.crocusgrade.daemon.batch.LateCalls.workers;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two runs of a task on workers that start again under their ids and are cut off
 * soon after: the next incarnation carries out calls that were sent to the former one.
 */
class FormerIncarnationTest {
    private static final int SEEDS = 30;
    private static final int ROUNDS = 3;
    private static final long LONG_TASK_MILLIS = 1300;

    /** How long the entry of a worker is kept that is silent. */
    private static final long ENTRY_MILLIS = 4500;

    /** The range of seeds can be set by {@code -Dsim.first} and {@code -Dsim.last}. */
    static List<Long> seeds() {
        long last = Math.min(SEEDS, Long.getLong("sim.last", SEEDS));
        return LongStream.rangeClosed(Long.getLong("sim.first", 1), last).boxed().toList();
    }

    /**
     * Calls that are in flight while a worker restarts reach its next incarnation, whose clock
     * starts anew, so that their lease is longer than its sender knows.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void leaseThatACallForTheFormerIncarnationExtendsIsNotTakenForExpired(long seed) {
        SimFleet fleet = busyFleet(seed);
        for (int round = 0; round < ROUNDS; round++) {
            Set<SimWorker> restarted = restartWorkers(fleet);
            submitFor(fleet, 100 + fleet.random.nextInt(1600));
            isolate(fleet, restarted);
            submitFor(fleet, 9000);
            isolate(fleet, List.of());
            submitFor(fleet, 3000);
        }
        assertThat("seed " + seed, fleet.checks.violations(), empty());
        fleet.time.run(30_000);
        assertThat("seed " + seed, fleet.unfinished(), empty());
        assertThat("seed " + seed, fleet.checks.violations(), empty());
    }

    /** A late call for the former incarnation arrives after the first answer of the next one. */
    @ParameterizedTest
    @ValueSource(longs = {1500, 2500, 4000})
    void lateCallForTheFormerIncarnationDoesNotExtendTheLeaseOfTheNextOne(long lateMillis) {
        SimFleet fleet = SimFleet.withEndlessTasks(1);
        fleet.time.run(6000);
        setLate(fleet, 1, lateMillis);
        fleet.time.run(1600);
        setLate(fleet, 0, lateMillis);
        fleet.workers.values().forEach(SimWorker::restart);
        fleet.workers.values().forEach(fleet::register);
        fleet.time.run(700);
        fleet.submit(12);
        fleet.time.run(lateMillis - 600);
        isolate(
                fleet,
                fleet.workers.values().stream()
                        .filter(w -> !w.report().running().isEmpty())
                        .toList());
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * A start that gets no answer is carried out by the next incarnation of its worker, which its
     * owner does not reach.
     *
     * @param lateMillis when it is carried out, after it was sent
     */
    @ParameterizedTest
    @ValueSource(longs = {1000, 2500, 4000, 6000, 9000, 12_000})
    void unansweredStartThatTheNextIncarnationCarriesOutRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        isolate(fleet, workers);
        workers.forEach(SimWorker::crash);
        fleet.time.run(500);
        workers.forEach(SimWorker::restart);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(40_000);
        assertThat(fleet.checks.violations(), empty());
        isolate(fleet, List.of());
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The same, and the owner is killed right after it has sent the starts.
     *
     * @param lateMillis when they are carried out, after they were sent
     */
    @ParameterizedTest
    @ValueSource(longs = {2500, 6000, 9000, 12_000, 14_000})
    void nextOwnerWaitsForStartsThatTheFormerOneGotNoAnswerTo(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        fleet.kill(fleet.holder().name);
        isolate(fleet, workers);
        workers.forEach(SimWorker::crash);
        fleet.time.run(500);
        workers.forEach(SimWorker::restart);
        fleet.time.afterMillis(ENTRY_MILLIS, () -> workers.forEach(fleet::unregister));
        setLate(fleet, 0, lateMillis);
        fleet.time.run(40_000);
        assertThat(fleet.checks.violations(), empty());
        isolate(fleet, List.of());
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /** A worker that has long been up, and still registers, can have no call for another one. */
    @Test
    void tasksDoNotWaitForCallsToFormerIncarnationsOfAWorkerThatIsOld() {
        SimFleet fleet = SimFleet.withTaskMillis(1, LONG_TASK_MILLIS);
        fleet.time.run(40_000);
        fleet.workers.values().iterator().next().setUnresponsive(true);
        fleet.time.run(8000);
        fleet.submit(100);
        fleet.time.run(300);
        fleet.kill(fleet.holder().name);
        fleet.time.run(20_000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The next incarnation of a worker, which carries out late starts, is reached before it has
     * registered. The acknowledgement of ends of the former one discards its own ends.
     */
    @ParameterizedTest
    @ValueSource(longs = {500, 1000, 2000})
    void endsOfTheNextIncarnationAreNotAcknowledgedUnseen(long lateMillis) {
        SimFleet fleet = SimFleet.withTaskMillis(1, SimFleet.TASK_MILLIS);
        fleet.time.run(20_000);
        fleet.submit(32);
        fleet.time.run(1500);
        setLate(fleet, 1, lateMillis);
        fleet.submit(8);
        fleet.time.run(20);
        List<SimWorker> workers = List.copyOf(fleet.workers.values());
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(lateMillis + 1500);
        isolate(fleet, List.of());
        fleet.time.run(500);
        workers.forEach(fleet::register);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
    }

    /**
     * The host of a worker is listed as down until the next incarnation begins.
     *
     * @param lateMillis when the start is carried out, after it was sent
     */
    @ParameterizedTest
    @ValueSource(longs = {9000, 12_000})
    void startThatAnIncarnationCarriesOutAfterItsHostWasDownRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        isolate(fleet, workers);
        workers.forEach(SimWorker::crash);
        fleet.time.run(500);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(7500);
        workers.forEach(SimWorker::restart);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * Two calls for a start are open, of which one is executed and shown by a report, when the next
     * incarnation of its worker registers; the other call reaches that one, which is cut off.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void openSecondCallForAListedRunDoesNotRunBesideAnother(long seed) {
        SimFleet fleet = loseAnswers(seed, 1000);
        List<SimWorker> workers = workers(fleet, 2);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(15_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /** The same, and the worker is reached as soon as it has registered. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void openSecondCallThatArrivesBeforeTheRegistrationDoesNotRunBesideAnother(long seed) {
        SimFleet fleet = loseAnswers(seed, 500);
        List<SimWorker> workers = workers(fleet, 2);
        workers.forEach(SimWorker::restart);
        isolate(fleet, workers);
        fleet.time.run(280);
        workers.forEach(fleet::register);
        isolate(fleet, List.of());
        fleet.time.run(15_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /** A call that was certainly not sent blocks its task no longer than its time-out. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void startThatWasNotSentToAWorkerThatRegistersMeanwhileDoesNotDelayItsTask(long seed) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, 700);
        List<SimWorker> workers = workers(fleet, 3);
        fleet.time.run(6000);
        workers.forEach(SimWorker::restart);
        isolate(fleet, workers);
        fleet.submit(30);
        fleet.time.run(300);
        workers.forEach(fleet::register);
        fleet.time.run(12_000);
        assertThat(fleet.unfinished(), empty());
    }

    /**
     * The former owner's start gets no answer; all workers answer the next owner, and one of them
     * then starts again and is cut off before that owner's first call.
     */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(longs = {7000, 9000, 12_000})
    void startOfTheFormerOwnerThatArrivesAfterThePoolIsSettledRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 1);
        fleet.kill(fleet.holder().name);
        setLate(fleet, 0, lateMillis);
        fleet.time.run(4900);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /** The next incarnation has rejected the late start, and the one after it carries it out. */
    @ParameterizedTest
    @ValueSource(longs = {4000, 8000})
    void lateStartThatTheSecondNextIncarnationCarriesOutRunsNowhereElse(long lateMillis) {
        SimFleet fleet = fleetWithUnansweredStarts(lateMillis);
        List<SimWorker> workers = workers(fleet, 2);
        setLate(fleet, 0, lateMillis);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(2500);
        isolate(fleet, workers);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(30_000);
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The next incarnation, which has answered, rejects a start for the former one. That says
     * nothing about the owner's duty.
     */
    @Test
    void ownerKeepsItsDutyWhenTheNextIncarnationRejectsACallForTheFormer() {
        SimFleet fleet = SimFleet.withTaskMillis(1, LONG_TASK_MILLIS);
        fleet.time.run(20_000);
        fleet.daemons.values().forEach(d -> d.orders.setRetransmitting(500));
        List<SimWorker> workers = List.copyOf(fleet.workers.values());
        workers.forEach(SimWorker::crash);
        fleet.time.run(100);
        fleet.submit(20);
        fleet.time.run(200);
        workers.forEach(SimWorker::restart);
        workers.forEach(fleet::register);
        fleet.time.run(10_000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    /** Starts to a worker whose host is lost get no answer either, but nobody carries them out. */
    @Test
    void unansweredStartsToALostHostDelayTheirTasksOnlyUntilLeasesHaveEnded() {
        SimFleet fleet = SimFleet.withTaskMillis(1, LONG_TASK_MILLIS);
        List<SimWorker> workers = workers(fleet, 2);
        fleet.time.run(1000);
        setLate(fleet, 1, 12_000);
        fleet.submit(8);
        fleet.time.run(100);
        workers.forEach(fleet::lose);
        fleet.time.run(500);
        setLate(fleet, 0, 12_000);
        fleet.time.run(9000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    private static SimFleet loseAnswers(long seed, long lateMillis) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, 1300);
        warmUp(fleet);
        loseStartAnswers(fleet, lateMillis);
        return fleet;
    }

    private static SimFleet busyFleet(long seed) {
        SimFleet fleet = SimFleet.withTaskMillis(seed, LONG_TASK_MILLIS);
        fleet.workers.values().forEach(SimWorker::setSlowRuns);
        fleet.daemons.values().forEach(d -> d.orders.setRetransmitting(20));
        submitFor(fleet, 3000);
        return fleet;
    }

    private static void submitFor(SimFleet fleet, long millis) {
        long end = fleet.time.millis() + millis;
        while (fleet.time.millis() < end) {
            fleet.submit(1 + fleet.random.nextInt(4));
            fleet.time.run(Math.min(250, end - fleet.time.millis()));
        }
    }

    /** Restarts half of the workers, which register a little later. */
    private static Set<SimWorker> restartWorkers(SimFleet fleet) {
        Set<SimWorker> restarted = new LinkedHashSet<>();
        int index = 0;
        for (SimWorker worker : List.copyOf(fleet.workers.values())) {
            if (index++ % 2 == 0) {
                restarted.add(worker);
                worker.crash();
            }
        }
        submitFor(fleet, 300 + fleet.random.nextInt(600));
        for (SimWorker worker : restarted) {
            worker.restart();
            fleet.time.afterMillis(fleet.random.nextInt(150), () -> fleet.register(worker));
        }
        return restarted;
    }
}
