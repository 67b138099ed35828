package org.crocusgrade.bench.promise;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry.State;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;
import org.crocusgrade.standin.worker.Receipt.Ending;
import org.junit.jupiter.api.Test;

/** Feeds each promise evidence that keeps it and evidence that breaks it. */
class PromisesTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final InetSocketAddress DAEMON = new InetSocketAddress("127.0.0.1", 7001);
    private static final PoolId MILLS = new PoolId("mills");
    private static final PoolId LOTS = new PoolId("lots");

    private final List<CallRecord> calls = new ArrayList<>();
    private final List<Receipt> receipts = new ArrayList<>();
    private final List<HostEvent> events = new ArrayList<>();
    private final List<Evidence.PoolWrite> pools = new ArrayList<>();
    private final List<Evidence.Rollout> rollouts = new ArrayList<>();
    private final List<Evidence.PlannedStop> stops = new ArrayList<>();

    @Test
    void nothingSeenIsNothingChecked() {
        for (Promise promise : Promise.all()) {
            assertThat(promise.check(evidence()).checked(), is(0L));
        }
    }

    @Test
    void budgetCountsUnplannedLossesAgainstAPlannedReboot() {
        pool(0, "w-1", MILLS);
        pool(0, "w-2", MILLS);
        pool(0, "w-3", LOTS);
        event(1, "w-3", State.DOWN, true);
        event(2, "w-1", State.DOWN, true);
        event(3, "w-1", State.LIVE, true);
        event(4, "w-1", State.DOWN, false);
        expect(new BudgetPromise(), 2, 0);
        event(5, "w-2", State.DOWN, true);
        expect(new BudgetPromise(), 3, 1);
    }

    @Test
    void budgetFollowsAWorkerToItsNewPool() {
        pool(0, "w-1", MILLS);
        pool(0, "w-2", LOTS);
        pool(2, "w-2", MILLS);
        event(3, "w-1", State.DOWN, true);
        event(4, "w-2", State.DOWN, true);
        expect(new BudgetPromise(), 2, 1);
    }

    @Test
    void requestsOfTwoPoolsMustNotOverlapOnAWorker() {
        run("a", "w-1", MILLS, 0, 10, Ending.COMPLETED);
        run("b", "w-1", MILLS, 5, 12, Ending.COMPLETED);
        run("c", "w-1", LOTS, 12, 20, Ending.COMPLETED);
        run("d", "w-2", LOTS, 0, 20, Ending.COMPLETED);
        expect(new OnePoolPromise(), 4, 0);
        run("e", "w-1", MILLS, 19, 25, Ending.COMPLETED);
        expect(new OnePoolPromise(), 5, 1);
    }

    @Test
    void aRequestMustNameThePoolOnRecord() {
        pool(0, "w-1", MILLS);
        pool(10, "w-1", LOTS);
        run("a", "w-1", MILLS, 9, 10, Ending.COMPLETED);
        run("b", "w-1", LOTS, 11, 12, Ending.COMPLETED);
        expect(new OnePoolPromise(), 2, 0);
        run("c", "w-1", MILLS, 13, 14, Ending.COMPLETED);
        expect(new OnePoolPromise(), 3, 1);
    }

    @Test
    void aCompletedCallNeedsItsWholeAnswer() {
        call("a", 0, 9, Outcome.COMPLETED, true);
        call("b", 0, 9, Outcome.UNKNOWN, false);
        expect(new OwnAnswerPromise(), 1, 0);
        call("c", 0, 9, Outcome.COMPLETED, false);
        expect(new OwnAnswerPromise(), 2, 1);
    }

    @Test
    void aRefusedRequestMayReachAWorkerButMustNotStart() {
        call("a", 0, 9, Outcome.NOT_RUN, false);
        run("a", "w-1", MILLS, 1, 1, Ending.REFUSED_SLOTS);
        expect(new NotRunPromise(), 1, 0);
        call("b", 0, 9, Outcome.NOT_RUN, false);
        run("b", "w-1", MILLS, 1, 2, Ending.CANCELLED);
        expect(new NotRunPromise(), 2, 1);
    }

    @Test
    void aRequestThatStartsAfterNotRunNeedsAnotherCall() {
        call("a", 0, 2, Outcome.NOT_RUN, false);
        call("a", 3, 9, Outcome.COMPLETED, true);
        run("a", "w-1", MILLS, 4, 8, Ending.COMPLETED);
        expect(new NotRunPromise(), 1, 0);
        call("b", 0, 2, Outcome.NOT_RUN, false);
        run("b", "w-1", MILLS, 4, 8, Ending.COMPLETED);
        expect(new NotRunPromise(), 2, 1);
    }

    @Test
    void aResubmissionMustNotBeToldNotRunAfterTheFirstRan() {
        call("a", 0, 2, Outcome.UNKNOWN, false);
        call("a", 3, 9, Outcome.NOT_RUN, false);
        run("a", "w-1", MILLS, 1, 2, Ending.COMPLETED);
        expect(new NotRunPromise(), 1, 1);
    }

    @Test
    void aNonIdempotentRequestStartsOnce() {
        call("a", 0, 2, Outcome.UNKNOWN, false);
        call("a", 3, 9, Outcome.UNKNOWN, false);
        run("a", "w-1", MILLS, 1, 2, Ending.CONNECTION_LOST);
        run("a", "w-2", MILLS, 4, 5, Ending.REFUSED_SLOTS);
        expect(new AtMostOncePromise(), 1, 0);
        run("a", "w-2", MILLS, 5, 6, Ending.COMPLETED);
        expect(new AtMostOncePromise(), 1, 1);
    }

    @Test
    void aLeavingWorkerMustNotBeSentWorkAfterTheBound() {
        event(10, "w-1", State.LEAVING, false);
        run("a", "w-1", MILLS, 14, 15, Ending.REFUSED_LEAVING);
        run("b", "w-2", MILLS, 16, 17, Ending.COMPLETED);
        expect(new LeavingPromise(), 1, 0);
        run("c", "w-1", MILLS, 16, 16, Ending.REFUSED_LEAVING);
        expect(new LeavingPromise(), 1, 1);
    }

    @Test
    void aPlannedRebootMustNotCut() {
        event(5, "w-1", State.DOWN, false);
        run("a", "w-1", MILLS, 1, 5, Ending.CUT);
        event(8, "w-1", State.LIVE, false);
        event(10, "w-1", State.DOWN, true);
        expect(new GracefulStopPromise(), 1, 0);
        run("b", "w-1", MILLS, 9, 10, Ending.CUT);
        expect(new GracefulStopPromise(), 1, 1);
    }

    @Test
    void aPlannedStopOfADaemonAnswersWhatIsInFlight() {
        stops.add(new Evidence.PlannedStop(DAEMON, at(5), at(8)));
        call("a", 4, 7, Outcome.COMPLETED, true);
        call("b", 1, 3, Optional.empty(), false);
        expect(new GracefulStopPromise(), 1, 0);
        call("c", 4, 7, Optional.empty(), false);
        expect(new GracefulStopPromise(), 2, 1);
    }

    @Test
    void aConfigurationMustBeFollowedInTimeAndStay() {
        rollouts.add(new Evidence.Rollout(at(0), List.of(probe(1, false), probe(3, true))));
        expect(new ConfigPromise(), 1, 0);
        rollouts.add(new Evidence.Rollout(at(0), List.of(probe(1, false), probe(6, true))));
        expect(new ConfigPromise(), 2, 1);
        rollouts.add(new Evidence.Rollout(at(0), List.of(probe(1, true), probe(4, false))));
        expect(new ConfigPromise(), 4, 2);
        rollouts.add(new Evidence.Rollout(at(0), List.of(probe(1, false))));
        expect(new ConfigPromise(), 5, 3);
    }

    private void expect(Promise promise, long checked, long broken) {
        Verdict verdict = promise.check(evidence());
        assertThat(verdict.checked(), is(checked));
        assertThat(verdict.broken(), is(broken));
        assertThat(verdict.examples().size(), is((int) broken));
    }

    private Evidence evidence() {
        return new Evidence(
                calls,
                receipts,
                events,
                pools,
                Map.of(MILLS, 1, LOTS, 1),
                rollouts,
                stops,
                BOUND,
                BOUND);
    }

    private void call(String nonce, int sent, int ended, Outcome told, boolean whole) {
        call(nonce, sent, ended, Optional.of(told), whole);
    }

    private void call(String nonce, int sent, int ended, Optional<Outcome> told, boolean whole) {
        calls.add(
                new CallRecord(
                        nonce,
                        new ServiceId("mills"),
                        DAEMON,
                        false,
                        Duration.ofMillis(10),
                        at(sent),
                        at(ended),
                        told.isPresent() ? 200 : 0,
                        told,
                        told.isPresent() ? "ok" : CallRecord.NO_ANSWER,
                        whole));
    }

    private void run(String nonce, String worker, PoolId pool, int start, int end, Ending ending) {
        receipts.add(
                new Receipt(
                        worker,
                        "r-" + nonce,
                        nonce,
                        nonce,
                        pool.value(),
                        pool.value(),
                        "POST",
                        at(start),
                        at(end),
                        ending));
    }

    private void pool(int second, String worker, PoolId pool) {
        pools.add(
                new Evidence.PoolWrite(
                        at(second), new WorkerId(worker), pool, WorkerState.SERVING));
    }

    private void event(int second, String worker, State state, boolean planned) {
        events.add(new HostEvent(new WorkerId(worker), state, planned, at(second)));
    }

    private static Evidence.Probe probe(int second, boolean followed) {
        return new Evidence.Probe(DAEMON, at(second), at(second).plusMillis(20), followed);
    }

    private static Instant at(int second) {
        return Instant.EPOCH.plusSeconds(second);
    }
}
