package org.crocusgrade.bench.guarantee;

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

/** Checks each guarantee against observations that satisfy it and ones that violate it. */
class GuaranteesTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final InetSocketAddress DAEMON = new InetSocketAddress("127.0.0.1", 7001);
    private static final PoolId MILLS = new PoolId("mills");
    private static final PoolId LOTS = new PoolId("lots");

    private final List<CallRecord> calls = new ArrayList<>();
    private final List<Receipt> receipts = new ArrayList<>();
    private final List<HostEvent> events = new ArrayList<>();
    private final List<Observations.PoolWrite> pools = new ArrayList<>();
    private final List<Observations.Rollout> rollouts = new ArrayList<>();
    private final List<Observations.PlannedStop> stops = new ArrayList<>();

    @Test
    void emptyObservationsContainNoCase() {
        for (Guarantee guarantee : Guarantee.all()) {
            assertThat(guarantee.check(observations()).checked(), is(0L));
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
        expect(new BudgetGuarantee(), 2, 0);
        event(5, "w-2", State.DOWN, true);
        expect(new BudgetGuarantee(), 3, 1);
    }

    @Test
    void budgetFollowsAWorkerToItsNewPool() {
        pool(0, "w-1", MILLS);
        pool(0, "w-2", LOTS);
        pool(2, "w-2", MILLS);
        event(3, "w-1", State.DOWN, true);
        event(4, "w-2", State.DOWN, true);
        expect(new BudgetGuarantee(), 2, 1);
    }

    @Test
    void requestsOfTwoPoolsMustNotOverlapOnAWorker() {
        run("a", "w-1", MILLS, 0, 10, Ending.COMPLETED);
        run("b", "w-1", MILLS, 5, 12, Ending.COMPLETED);
        run("c", "w-1", LOTS, 12, 20, Ending.COMPLETED);
        run("d", "w-2", LOTS, 0, 20, Ending.COMPLETED);
        expect(new OnePoolGuarantee(), 4, 0);
        run("e", "w-1", MILLS, 19, 25, Ending.COMPLETED);
        expect(new OnePoolGuarantee(), 5, 1);
    }

    @Test
    void aRequestMustNameTheRecordedPool() {
        pool(0, "w-1", MILLS);
        pool(10, "w-1", LOTS);
        run("a", "w-1", MILLS, 9, 10, Ending.COMPLETED);
        run("b", "w-1", LOTS, 11, 12, Ending.COMPLETED);
        expect(new OnePoolGuarantee(), 2, 0);
        run("c", "w-1", MILLS, 13, 14, Ending.COMPLETED);
        expect(new OnePoolGuarantee(), 3, 1);
    }

    @Test
    void aCompletedCallNeedsItsCompleteAnswer() {
        call("a", 0, 9, Outcome.COMPLETED, true);
        call("b", 0, 9, Outcome.UNKNOWN, false);
        expect(new OwnAnswerGuarantee(), 1, 0);
        call("c", 0, 9, Outcome.COMPLETED, false);
        expect(new OwnAnswerGuarantee(), 2, 1);
    }

    @Test
    void aRefusedRequestMayReachAWorkerButMustNotStart() {
        call("a", 0, 9, Outcome.NOT_RUN, false);
        run("a", "w-1", MILLS, 1, 1, Ending.REFUSED_SLOTS);
        expect(new NotRunGuarantee(), 1, 0);
        call("b", 0, 9, Outcome.NOT_RUN, false);
        run("b", "w-1", MILLS, 1, 2, Ending.CANCELLED);
        expect(new NotRunGuarantee(), 2, 1);
    }

    @Test
    void aRequestThatStartsAfterNotRunNeedsAnotherCall() {
        call("a", 0, 2, Outcome.NOT_RUN, false);
        call("a", 3, 9, Outcome.COMPLETED, true);
        run("a", "w-1", MILLS, 4, 8, Ending.COMPLETED);
        expect(new NotRunGuarantee(), 1, 0);
        call("b", 0, 2, Outcome.NOT_RUN, false);
        run("b", "w-1", MILLS, 4, 8, Ending.COMPLETED);
        expect(new NotRunGuarantee(), 2, 1);
    }

    @Test
    void aResubmissionMustNotBeAnsweredNotRunAfterTheFirstCallRan() {
        call("a", 0, 2, Outcome.UNKNOWN, false);
        call("a", 3, 9, Outcome.NOT_RUN, false);
        run("a", "w-1", MILLS, 1, 2, Ending.COMPLETED);
        expect(new NotRunGuarantee(), 1, 1);
    }

    @Test
    void aNonIdempotentRequestStartsOnce() {
        call("a", 0, 2, Outcome.UNKNOWN, false);
        call("a", 3, 9, Outcome.UNKNOWN, false);
        run("a", "w-1", MILLS, 1, 2, Ending.CONNECTION_LOST);
        run("a", "w-2", MILLS, 4, 5, Ending.REFUSED_SLOTS);
        expect(new AtMostOnceGuarantee(), 1, 0);
        run("a", "w-2", MILLS, 5, 6, Ending.COMPLETED);
        expect(new AtMostOnceGuarantee(), 1, 1);
    }

    @Test
    void aLeavingWorkerMustNotReceiveRequestsAfterTheBound() {
        event(10, "w-1", State.LEAVING, false);
        run("a", "w-1", MILLS, 14, 15, Ending.REFUSED_LEAVING);
        run("b", "w-2", MILLS, 16, 17, Ending.COMPLETED);
        expect(new LeavingGuarantee(), 1, 0);
        run("c", "w-1", MILLS, 16, 16, Ending.REFUSED_LEAVING);
        expect(new LeavingGuarantee(), 1, 1);
    }

    @Test
    void aPlannedRebootMustNotInterruptARequest() {
        event(5, "w-1", State.DOWN, false);
        run("a", "w-1", MILLS, 1, 5, Ending.CUT);
        event(8, "w-1", State.LIVE, false);
        event(10, "w-1", State.DOWN, true);
        expect(new GracefulStopGuarantee(), 1, 0);
        run("b", "w-1", MILLS, 9, 10, Ending.CUT);
        expect(new GracefulStopGuarantee(), 1, 1);
    }

    @Test
    void aPlannedStopOfADaemonAnswersCallsInFlight() {
        stops.add(new Observations.PlannedStop(DAEMON, at(5), at(8)));
        call("a", 4, 7, Outcome.COMPLETED, true);
        call("b", 1, 3, Optional.empty(), false);
        expect(new GracefulStopGuarantee(), 1, 0);
        call("c", 4, 7, Optional.empty(), false);
        expect(new GracefulStopGuarantee(), 2, 1);
    }

    @Test
    void aConfigurationMustBeAppliedInTimeAndNotRevert() {
        rollouts.add(new Observations.Rollout(at(0), List.of(probe(1, false), probe(3, true))));
        expect(new ConfigGuarantee(), 1, 0);
        rollouts.add(new Observations.Rollout(at(0), List.of(probe(1, false), probe(6, true))));
        expect(new ConfigGuarantee(), 2, 1);
        rollouts.add(new Observations.Rollout(at(0), List.of(probe(1, true), probe(4, false))));
        expect(new ConfigGuarantee(), 4, 2);
        rollouts.add(new Observations.Rollout(at(0), List.of(probe(1, false))));
        expect(new ConfigGuarantee(), 5, 3);
    }

    private void expect(Guarantee guarantee, long checked, long violated) {
        CheckResult result = guarantee.check(observations());
        assertThat(result.checked(), is(checked));
        assertThat(result.violated(), is(violated));
        assertThat(result.examples().size(), is((int) violated));
    }

    private Observations observations() {
        return new Observations(
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

    private void call(String nonce, int sent, int ended, Outcome outcome, boolean whole) {
        call(nonce, sent, ended, Optional.of(outcome), whole);
    }

    private void call(String nonce, int sent, int ended, Optional<Outcome> outcome, boolean whole) {
        calls.add(
                new CallRecord(
                        nonce,
                        new ServiceId("mills"),
                        DAEMON,
                        false,
                        Duration.ofMillis(10),
                        at(sent),
                        at(ended),
                        outcome.isPresent() ? 200 : 0,
                        outcome,
                        outcome.isPresent() ? "ok" : CallRecord.NO_ANSWER,
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
                new Observations.PoolWrite(
                        at(second), new WorkerId(worker), pool, WorkerState.SERVING));
    }

    private void event(int second, String worker, State state, boolean planned) {
        events.add(new HostEvent(new WorkerId(worker), state, planned, at(second)));
    }

    private static Observations.Probe probe(int second, boolean followed) {
        return new Observations.Probe(DAEMON, at(second), at(second).plusMillis(20), followed);
    }

    private static Instant at(int second) {
        return Instant.EPOCH.plusSeconds(second);
    }
}
