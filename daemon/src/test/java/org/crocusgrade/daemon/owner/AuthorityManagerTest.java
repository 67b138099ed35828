package org.crocusgrade.daemon.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.member.AuthorityCodec;
import org.crocusgrade.core.member.AuthorityRecord;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.PromiseRequestMessage;
import org.junit.jupiter.api.Test;

/**
 * Tests the authority of one of three daemons while the platform's service or the peers do not
 * answer.
 */
class AuthorityManagerTest {
    private static final Region REGION = new Region("region-1");
    private static final DaemonRun SELF = run("d0");
    private static final String KEY = AuthorityRecord.key(SELF.daemon());

    private long now = Duration.ofHours(1).toNanos();
    private final Clock clock =
            new Clock() {
                @Override
                public Instant now() {
                    return Instant.EPOCH.plusNanos(now);
                }

                @Override
                public long nanoTime() {
                    return now;
                }
            };
    private final MemoryStore store = new MemoryStore(clock);
    private final Map<DaemonId, PromiseRequestMessage> sentRequests = new HashMap<>();
    private final WitnessService witnessService =
            new WitnessService(OwnershipTimeouts.DEFAULT, clock, (to, m) -> {});
    private final AuthorityManager manager =
            new AuthorityManager(
                    SELF,
                    REGION,
                    OwnershipTimeouts.DEFAULT,
                    store,
                    clock,
                    Runnable::run,
                    AuthorityManagerTest::fleet,
                    witnessService,
                    this::onSent);

    private static DaemonRun run(String daemon) {
        return new DaemonRun(new DaemonId(daemon), new BootId(daemon + "-1"));
    }

    private static FleetSnapshot fleet() {
        Map<DaemonId, MemberRecord> members = new HashMap<>();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        for (String name : new String[] {"d0", "d1", "d2"}) {
            DaemonRun run = run(name);
            members.put(
                    run.daemon(),
                    new MemberRecord(
                            run.daemon(),
                            run.boot(),
                            REGION,
                            new AvailabilityZone("zone-1"),
                            address,
                            address,
                            address));
        }
        return new FleetSnapshot(Map.of(), Map.of(), members);
    }

    private void onSent(DaemonId to, Envelope message) {
        sentRequests.put(to, message.getPromiseRequest());
    }

    private void advance(Duration time) {
        now += time.toNanos();
        witnessService.tick();
        manager.tick(now);
    }

    private void grantPromiseFrom(String witness) {
        PromiseRequestMessage request = sentRequests.get(new DaemonId(witness));
        manager.onPromiseReply(
                new DaemonId(witness),
                run(witness).boot(),
                OwnershipMessages.promiseReply(request, true).getPromiseReply());
    }

    private void join() {
        manager.onLease(now);
        manager.tick(now);
    }

    private boolean mayGrant() {
        return manager.end(now) - now > 0;
    }

    private StoreEntry stored() {
        return store.get(KEY).await().indefinitely().orElseThrow();
    }

    private AuthorityRecord record() throws Exception {
        return AuthorityCodec.decode(stored().value());
    }

    @Test
    void leaseWithoutWrittenRecordGivesNoAuthority() {
        store.setDown(true);
        join();
        assertThat(mayGrant(), is(false));
        store.setDown(false);
        advance(Duration.ofSeconds(1));
        assertThat(mayGrant(), is(true));
    }

    @Test
    void writeWithLostAnswerIsResolvedByReading() throws Exception {
        store.loseNextAnswer();
        join();
        long written = stored().revision();
        assertThat(mayGrant(), is(false));
        advance(Duration.ofSeconds(1));
        assertThat(mayGrant(), is(true));
        assertThat(stored().revision(), is(written));
        assertThat(record().run(), is(SELF));
    }

    @Test
    void withServiceDownOnePromiseOfAnotherWitnessExtendsAuthority() {
        join();
        store.setDown(true);
        advance(Duration.ofSeconds(3));
        advance(Duration.ofSeconds(2));
        assertThat(mayGrant(), is(false));
        grantPromiseFrom("d1");
        assertThat(mayGrant(), is(true));
        now += OwnershipTimeouts.DEFAULT.promise().toNanos();
        assertThat(mayGrant(), is(false));
    }

    @Test
    void promiseIsCountedFromWhenItsRequestWasSent() {
        join();
        store.setDown(true);
        advance(Duration.ofSeconds(5));
        now += OwnershipTimeouts.DEFAULT.promise().toNanos();
        grantPromiseFrom("d1");
        assertThat(mayGrant(), is(false));
    }

    @Test
    void ownerPausedDuringTakeOverRestartsUnderNewBootId() throws Exception {
        join();
        byte[] closed = AuthorityCodec.encode(record().close());
        now += Duration.ofSeconds(30).toNanos();
        store.compareAndSet(KEY, stored().revision(), closed, Optional.empty())
                .await()
                .indefinitely();
        assertThat(mayGrant(), is(false));
        manager.onLeaseLost();
        manager.onLease(now);
        assertThat(mayGrant(), is(false));
        advance(Duration.ofSeconds(1));
        assertThat(mayGrant(), is(true));
        assertThat(manager.run(), is(not(SELF)));
        assertThat(record().run(), is(manager.run()));
    }
}
