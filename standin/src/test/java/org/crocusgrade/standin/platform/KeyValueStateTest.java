package org.crocusgrade.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.standin.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class KeyValueStateTest {
    private static final Duration TTL = Duration.ofSeconds(2);

    private final ManualClock clock = new ManualClock();
    private final KeyValueState state = new KeyValueState(clock);

    @Test
    void writesOnlyAtTheExpectedRevision() throws StoreException {
        long first = put("a/1", KeyValueStore.ABSENT);
        assertThat(kindOf(() -> put("a/1", KeyValueStore.ABSENT)), is(Kind.CONFLICT));
        long second = put("a/1", first);
        assertThat(kindOf(() -> put("a/1", first)), is(Kind.CONFLICT));
        assertThat(kindOf(() -> state.delete("a/1", first)), is(Kind.CONFLICT));
        state.delete("a/1", second);
        assertThat(state.get("a/1").isPresent(), is(false));
    }

    @Test
    void entryIsDeletedWhenItsLeaseExpires() throws StoreException {
        LeaseId lease = state.grantLease(TTL);
        state.compareAndSet("m/1", KeyValueStore.ABSENT, new byte[0], Optional.of(lease));
        clock.advance(TTL.minusMillis(1));
        state.renewLease(lease);
        clock.advance(TTL.minusMillis(1));
        assertThat(state.get("m/1").isPresent(), is(true));
        long seen = state.revision();
        clock.advance(Duration.ofMillis(1));
        assertThat(state.get("m/1").isPresent(), is(false));
        assertThat(state.changesAfter("m/", seen).get().deleted(), contains("m/1"));
        assertThat(kindOf(() -> state.renewLease(lease)), is(Kind.LEASE_LOST));
    }

    @Test
    void entryRewrittenWithoutLeaseOutlivesTheOldLease() throws StoreException {
        LeaseId lease = state.grantLease(TTL);
        long revision = state.compareAndSet("m/1", 0, new byte[0], Optional.of(lease));
        put("m/1", revision);
        clock.advance(TTL);
        assertThat(state.get("m/1").isPresent(), is(true));
    }

    @Test
    void refusesOversizedValuesAndKeys() {
        byte[] value = new byte[KeyValueStore.MAX_VALUE_BYTES + 1];
        assertThat(
                kindOf(() -> state.compareAndSet("k", 0, value, Optional.empty())),
                is(Kind.REFUSED));
        assertThat(
                kindOf(() -> put("k".repeat(KeyValueState.MAX_KEY_CHARS + 1), 0)),
                is(Kind.REFUSED));
        assertThat(state.list(""), hasSize(0));
    }

    /**
     * Guards against a watch that misses a write or a delete: a reader that only applies the
     * results of watches must end with the same entries as a reader of the list.
     */
    @Property(tries = 200, seed = "1")
    void watchReportsEveryChange(@ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> steps)
            throws StoreException {
        KeyValueState kv = new KeyValueState(new ManualClock());
        Map<String, Long> followed = new TreeMap<>();
        long seen = 0;
        for (int step : steps) {
            String key = "p/" + step % 4;
            long revision = kv.get(key).map(e -> e.revision()).orElse(KeyValueStore.ABSENT);
            if (step < 8) {
                kv.compareAndSet(key, revision, new byte[0], Optional.empty());
            } else if (revision != KeyValueStore.ABSENT) {
                kv.delete(key, revision);
            }
            if (step % 3 == 0) {
                seen = follow(kv, seen, followed);
            }
        }
        follow(kv, seen, followed);
        Map<String, Long> listed = new TreeMap<>();
        kv.list("p/").forEach(e -> listed.put(e.key(), e.revision()));
        assertThat(followed, is(listed));
    }

    private static long follow(KeyValueState kv, long seen, Map<String, Long> followed)
            throws StoreException {
        Optional<WatchResult> result = kv.changesAfter("p/", seen);
        if (result.isEmpty()) {
            return seen;
        }
        result.get().changed().forEach(e -> followed.put(e.key(), e.revision()));
        new ArrayList<>(result.get().deleted()).forEach(followed::remove);
        return result.get().revision();
    }

    private long put(String key, long expected) throws StoreException {
        return state.compareAndSet(key, expected, new byte[] {1}, Optional.empty());
    }

    private static Kind kindOf(Executable call) {
        return assertThrows(StoreException.class, call).kind();
    }
}
