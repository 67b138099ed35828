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
        lease.calibrate(100);
        assertThat(lease.extend(), is(100 + GRANTED_MILLIS));
        assertExpiresAfter(LONGEST_MILLIS);
    }

    @Test
    void leaseIsAsLongAsGivenOnceTheLongestOneIsOver() {
        lease.calibrate(100);
        time.run(3000);
        lease.calibrate(3100);
        lease.extend();
        assertExpiresAfter(GRANTED_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {40, 4_136_000})
    void clockOfTheNextIncarnationDoesNotProlongTheLease(long clock) {
        lease.calibrate(50_000);
        lease.extend();
        time.run(2000);
        lease.calibrate(52_000);
        lease.extend();
        time.run(100);
        lease.calibrate(clock);
        lease.extend();
        time.run(5100);
        assertThat("expired", lease.isExpired(), is(true));
    }

    @Test
    void answerOfTheNextIncarnationIsNotTakenForOneOfTheFormer() {
        lease.calibrate(50_000);
        time.run(2000);
        assertThat(lease.isSameClock(52_000), is(true));
        assertThat(lease.isSameClock(51_960), is(true));
        assertThat(lease.isSameClock(1900), is(false));
        assertThat(lease.isSameClock(4_136_000), is(false));
    }

    @Test
    void answerIsNotAttributedToAnIncarnationThatHasJustBegun() {
        lease.calibrate(500);
        time.run(2000);
        assertThat(lease.isSameClock(2500), is(false));
    }

    private void assertExpiresAfter(long millis) {
        long slowest = (long) (millis / SLOWEST);
        time.run(slowest);
        assertThat("still granted", lease.isExpired(), is(false));
        time.run(2);
        assertThat("expired", lease.isExpired(), is(true));
    }
}
