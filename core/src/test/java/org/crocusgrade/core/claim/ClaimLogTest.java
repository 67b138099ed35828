package org.crocusgrade.core.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.claim.ClaimVerdict.Kind;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Claims of one shard in virtual time; under faults, guards against granting a key twice. */
class ClaimLogTest {
    private static final int SHARD = 0;
    private static final double NO_FAULTS = 0;

    private final VirtualTime time = new VirtualTime();

    @Test
    void aKeyIsGrantedOnceAndTakenAfterwards() {
        FaultyStore store = store(1, NO_FAULTS);
        ClaimLog log = load(store, "a");
        List<ClaimVerdict> verdicts = new ArrayList<>();
        log.claim(claim(7, "a"), verdicts::add);
        log.claim(claim(7, "b"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        assertThat(verdicts.get(0), is(ClaimVerdict.taken(claim(7, "a"))));
        assertThat(verdicts.get(1), is(ClaimVerdict.GRANTED));
    }

    @Test
    void aReleasedKeyIsGrantedAgainByTheNextWriter() {
        FaultyStore store = store(1, NO_FAULTS);
        ClaimLog first = load(store, "a");
        List<ClaimVerdict> verdicts = new ArrayList<>();
        first.claim(claim(7, "a"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        first.release(claim(7, "a"));
        time.runFor(Duration.ofSeconds(1).toNanos());
        load(store, "b").claim(claim(7, "b"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        assertThat(verdicts, is(List.of(ClaimVerdict.GRANTED, ClaimVerdict.GRANTED)));
    }

    @Test
    void aClaimStaysInForceUnderAnotherWriter() {
        FaultyStore store = store(1, NO_FAULTS);
        List<ClaimVerdict> verdicts = new ArrayList<>();
        load(store, "a").claim(claim(7, "a"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        load(store, "b").claim(claim(7, "b"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        assertThat(verdicts.get(1), is(ClaimVerdict.taken(claim(7, "a"))));
    }

    @Test
    void aClaimExpiresAndItsEntryIsDeleted() {
        FaultyStore store = store(1, NO_FAULTS);
        ClaimLog log = load(store, "a");
        log.claim(claim(7, "a"), verdict -> {});
        time.runFor(ClaimLog.RETENTION.plusSeconds(1).toNanos());
        log.claim(claim(8, "a"), verdict -> {});
        time.runFor(Duration.ofSeconds(1).toNanos());
        assertThat(store.entries.size(), is(1));
        assertThat(log.size(), is(1));
        List<ClaimVerdict> verdicts = new ArrayList<>();
        log.claim(claim(7, "b"), verdicts::add);
        time.runFor(Duration.ofSeconds(1).toNanos());
        assertThat(verdicts, is(List.of(ClaimVerdict.GRANTED)));
    }

    @Test
    void writesStayWithinTheShardsShareOfTheWriteRate() {
        FaultyStore store = store(1, NO_FAULTS);
        ClaimLog log = load(store, "a");
        int seconds = 5;
        int perSecond = 2000;
        int granted = 0;
        List<ClaimVerdict> verdicts = new ArrayList<>();
        for (int i = 0; i < seconds * perSecond; i++) {
            log.claim(claim(i, "a"), verdicts::add);
            time.runFor(Duration.ofSeconds(1).toNanos() / perSecond);
        }
        time.runFor(Duration.ofSeconds(1).toNanos());
        for (ClaimVerdict verdict : verdicts) {
            granted += verdict.kind() == Kind.GRANTED ? 1 : 0;
        }
        assertThat(granted, is(seconds * perSecond));
        int share = ClaimLog.MAX_WRITES_PER_SECOND / ClaimId.SHARDS;
        assertThat(store.writes, lessThanOrEqualTo((seconds + 1) * share));
    }

    /**
     * No key may be granted twice without a release in between, which is checked against a record
     * of all verdicts. Three writers share one log, and each may be replaced at any time. The store
     * loses answers before and after the write, delays writes, and is unreachable at times.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noKeyIsGrantedTwiceUnderFaults(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        FaultyStore store = new FaultyStore(time, random, 0.4);
        Map<ClaimId, Claim> grantedClaims = new HashMap<>();
        Set<Claim> violations = new HashSet<>();
        int[] granted = {0};
        ClaimLog[] logs = new ClaimLog[3];
        for (int step = 0; step < 600; step++) {
            int at = random.nextInt(logs.length);
            if (logs[at] == null || random.nextInt(60) == 0) {
                logs[at] = new ClaimLog(store, time, time, SHARD, "w" + at + "-" + step);
                ClaimLog loading = logs[at];
                loading.load().subscribe().with(done -> {}, failure -> {});
                time.runFor(Duration.ofMillis(100).toNanos());
            }
            store.down = random.nextInt(20) == 0;
            Claim claim = claim(random.nextInt(200), "h" + step);
            logs[at].claim(
                    claim,
                    verdict -> {
                        if (verdict.kind() != Kind.GRANTED) {
                            return;
                        }
                        granted[0]++;
                        if (grantedClaims.putIfAbsent(claim.id(), claim) != null) {
                            violations.add(claim);
                        }
                    });
            time.runFor(random.nextInt(1, 60) * 1_000_000L);
            if (random.nextInt(4) == 0 && grantedClaims.remove(claim.id(), claim)) {
                logs[at].release(claim);
            }
        }
        store.down = false;
        time.runFor(Duration.ofSeconds(10).toNanos());
        assertThat(violations, is(Set.of()));
        assertThat(granted[0], greaterThan(50));
    }

    private FaultyStore store(long seed, double faultShare) {
        return new FaultyStore(time, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), faultShare);
    }

    private ClaimLog load(FaultyStore store, String writer) {
        ClaimLog log = new ClaimLog(store, time, time, SHARD, writer);
        boolean[] loaded = {false};
        log.load().subscribe().with(done -> loaded[0] = true);
        time.runFor(Duration.ofMillis(100).toNanos());
        assertThat(loaded[0], is(true));
        return log;
    }

    private static Claim claim(int key, String holder) {
        ClaimId id = new ClaimId((long) key * ClaimId.SHARDS, key);
        return new Claim(id, key, new DaemonId(holder), new BootId(holder + "-boot"));
    }
}
