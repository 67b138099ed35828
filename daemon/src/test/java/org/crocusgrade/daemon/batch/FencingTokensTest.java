package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.Random;
import org.crocusgrade.core.id.ServiceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a token that an incarnation of a worker shares with the former one, and against
 * one that is not below that of the next owner.
 */
class FencingTokensTest {
    private static final String HOLDER = "crocus/holder/pool.quotes";

    private final SimTime time = new SimTime();
    private final SimStore store = new SimStore(time, new Random(3));
    private long token;
    private int confirmations;
    private FencingTokens tokens;

    @BeforeEach
    void createTokens() {
        store.write(HOLDER, new byte[] {1});
        token = holderRevision();
        BatchRuntime runtime = SimRuntime.create(time, store.client(), new NoHosts());
        Duty duty = Duty.pool(new ServiceId("quotes"));
        DutyOwnership ownership = new DutyOwnership(duty, HOLDER, token, 1);
        tokens = new FencingTokens(runtime, ownership, () -> confirmations++);
    }

    @Test
    void nextIncarnationHasAHigherTokenThanTheFormerOne() {
        assertThat(tokens.latest(), is(token));
        store.write("servers/w", new byte[] {1});
        assertThat("none is known yet", tokens.above(token), is(OptionalLong.empty()));
        time.run(100);
        assertThat(confirmations, is(1));
        long next = tokens.above(token).orElseThrow();
        assertThat(next, greaterThan(token));
        assertThat(tokens.above(next), is(OptionalLong.empty()));
    }

    @Test
    void tokenIsBelowThatOfTheNextOwner() {
        store.write("servers/w", new byte[] {1});
        tokens.above(token);
        time.run(100);
        store.write(HOLDER, new byte[] {2});
        assertThat(holderRevision(), greaterThan(tokens.latest()));
    }

    @Test
    void replacedOwnerGetsNoFurtherToken() {
        store.write(HOLDER, new byte[] {2});
        tokens.above(token);
        time.run(100);
        store.remove(HOLDER);
        tokens.above(token);
        time.run(100);
        assertThat(tokens.latest(), is(token));
        assertThat(confirmations, is(0));
    }

    @Test
    void recordThatWasStoredSavesTheRead() {
        tokens.confirm(token + 5);
        tokens.confirm(token + 3);
        assertThat(tokens.above(token), is(OptionalLong.of(token + 5)));
    }

    /** A session that waits for a token is not opened although one is known. */
    @Test
    void recordThatIsStoredDuringTheReadOpensTheWaitingSessions() {
        store.write("servers/w", new byte[] {1});
        assertThat(tokens.above(token), is(OptionalLong.empty()));
        tokens.confirm(token + 5);
        time.run(100);
        assertThat(confirmations, is(1));
    }

    /** The same if nothing was written since the former token, or a read fails. */
    @Test
    void waitingSessionsAreOpenedWithoutAnotherRegistration() {
        store.write("servers/w", new byte[] {1});
        store.setDown(true);
        assertThat(tokens.above(token), is(OptionalLong.empty()));
        time.run(100);
        store.setDown(false);
        time.run(5000);
        assertThat(confirmations, is(1));
    }

    @Test
    void storeThatDoesNotAnswerIsAskedAgain() {
        store.write("servers/w", new byte[] {1});
        store.setDown(true);
        tokens.above(token);
        time.run(5000);
        store.setDown(false);
        tokens.above(token);
        time.run(100);
        assertThat(tokens.above(token).isPresent(), is(true));
    }

    private long holderRevision() {
        return store.read(HOLDER).orElseThrow().revision();
    }
}
