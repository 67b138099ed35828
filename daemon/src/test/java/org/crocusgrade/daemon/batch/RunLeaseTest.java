package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a lease that is taken for expired while the worker grants it, and against one that
 * never expires, when a worker starts again under its id with a new clock.
 */
class RunLeaseTest {
    private static final long GRANTED_MILLIS = 4800;
    private static final long LONGEST_MILLIS = TestLimits.USUAL.maxRunLease().toMillis();
    private static final double SLOWEST = 0.98;

    private final SimTime time = new SimTime();
    private RunLease lease;

    @BeforeEach
    void createLease() {
        SimStore.Client store = new SimStore(time, new Random(1)).client();
        lease = new RunLease(SimRuntime.create(time, store, new NoHosts()));
    }

    @Test
    void leaseAfterTheFirstAnswerMayBeTheLongest() {
        report(100);
        assertThat(lease.extend(), is(100 + GRANTED_MILLIS));
        assertExpiresAfter(LONGEST_MILLIS);
    }

    @Test
    void leaseIsAsLongAsGivenOnceTheLongestOneIsOver() {
        report(100);
        time.run(3000);
        report(3100);
        lease.extend();
        assertExpiresAfter(GRANTED_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {40, 4_136_000})
    void clockOfTheNextIncarnationDoesNotProlongTheLease(long clock) {
        report(50_000);
        lease.extend();
        time.run(2000);
        report(52_000);
        lease.extend();
        time.run(100);
        assertThat("of this incarnation", answer(clock), is(false));
        lease.extend();
        time.run(5100);
        assertThat("expired", lease.isExpired(), is(true));
    }

    @ParameterizedTest
    @ValueSource(longs = {51_960, 52_000})
    void answerIsOfTheIncarnationWhoseClockItShows(long clock) {
        report(50_000);
        time.run(2000);
        assertThat(answer(clock), is(true));
    }

    @ParameterizedTest
    @ValueSource(longs = {1000, 50_000, 4_136_000})
    void answerOfTheNextIncarnationIsNotTakenForOneOfTheFormer(long clock) {
        report(50_000);
        time.run(2000);
        assertThat(answer(clock), is(false));
    }

    /** An incarnation that has begun after the last report shows at most the time since then. */
    @Test
    void answerIsNotAttributedToAnIncarnationThatMayHaveEnded() {
        report(500);
        time.run(2000);
        assertThat(answer(1900), is(false));
    }

    @Test
    void answerIsAttributedToAnIncarnationThatReportsWhileItIsYoung() {
        report(500);
        time.run(300);
        assertThat(answer(800), is(true));
    }

    /** The worker, or this process, has stood still for 3 s. */
    @ParameterizedTest
    @ValueSource(longs = {57_000, 63_000})
    void clockThatHasShiftedIsFollowed(long clock) {
        report(50_000);
        time.run(10_000);
        report(clock);
        assertThat(lease.extend(), is(clock + GRANTED_MILLIS));
    }

    private void report(long clock) {
        lease.onReport(clock, time.nanoTime());
    }

    private boolean answer(long clock) {
        return lease.onOrderAnswer(clock, time.nanoTime());
    }

    private void assertExpiresAfter(long millis) {
        long slowest = (long) (millis / SLOWEST);
        time.run(slowest);
        assertThat("still granted", lease.isExpired(), is(false));
        time.run(2);
        assertThat("expired", lease.isExpired(), is(true));
    }
}
