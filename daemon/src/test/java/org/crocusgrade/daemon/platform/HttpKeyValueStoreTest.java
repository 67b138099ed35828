package org.crocusgrade.daemon.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.standin.PlatformServer;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpKeyValueStoreTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LONG_WATCH = Duration.ofSeconds(8);

    /** More than the client has connections. */
    private static final int CONCURRENT_CALLS = 20;

    private static final byte[] VALUE = "value".getBytes(UTF_8);
    private static final String KEY = "fleet/bretagne/rack 1&x=y";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicLong nanos = new AtomicLong();
    private final Clock clock =
            new Clock() {
                @Override
                public Instant now() {
                    return Instant.EPOCH.plusNanos(nanos.get());
                }

                @Override
                public long nanoTime() {
                    return nanos.get();
                }
            };
    private final PlatformServer server = new PlatformServer(clock, 1);
    private InetSocketAddress address;
    private HttpKeyValueStore store;

    @BeforeEach
    void start() {
        address = server.start(vertx, "127.0.0.1", 0).await().atMost(WAIT);
        store = new HttpKeyValueStore(vertx, address, TIMEOUT);
    }

    @AfterEach
    void stop() {
        store.close();
        server.stop().await().atMost(WAIT);
        vertx.close().await().atMost(WAIT);
    }

    @Test
    void entryIsWrittenListedAndDeleted() {
        assertThat(await(store.get(KEY)).isPresent(), is(false));
        long made = put(KEY, KeyValueStore.ABSENT);
        StoreEntry entry = await(store.get(KEY)).get();
        assertThat(entry.text(), is("value"));
        assertThat(entry.revision(), is(made));
        assertThat(await(store.list("fleet/bretagne/")).get(0).key(), is(KEY));
        assertThat(kindOf(store.delete(KEY, made + 1)), is(Kind.CONFLICT));
        await(store.delete(KEY, made));
        assertThat(await(store.list("")).size(), is(0));
    }

    @Test
    void largestValueFits() {
        byte[] largest = new byte[KeyValueStore.MAX_VALUE_BYTES];
        await(store.compareAndSet("k", KeyValueStore.ABSENT, largest, Optional.empty()));
        assertThat(await(store.get("k")).get().value().length, is(largest.length));
        byte[] over = new byte[largest.length + 1];
        assertThat(
                kindOf(store.compareAndSet("l", KeyValueStore.ABSENT, over, Optional.empty())),
                is(Kind.REFUSED));
    }

    @Test
    void watchReturnsOnWriteAndOnLeaseExpiry() {
        Uni<WatchResult> watched = store.watch("m/", 0, LONG_WATCH).memoize().indefinitely();
        watched.subscribe().with(r -> {}, e -> {});
        LeaseId lease = await(store.grantLease(Duration.ofMillis(200)));
        await(store.compareAndSet("m/1", 0, VALUE, Optional.of(lease)));
        assertThat(await(watched).changed().get(0).key(), is("m/1"));
        nanos.addAndGet(Duration.ofMillis(200).toNanos());
        WatchResult expired = await(store.watch("m/", await(watched).revision(), LONG_WATCH));
        assertThat(expired.deleted(), contains("m/1"));
        assertThat(kindOf(store.renewLease(lease)), is(Kind.LEASE_LOST));
        WatchResult none = await(store.watch("m/", expired.revision(), Duration.ofMillis(20)));
        assertThat(none.changed().isEmpty() && none.deleted().isEmpty(), is(true));
    }

    @Test
    void writeWithLostAnswerIsReportedAsAnswerLost() {
        server.setFaults(new PlatformFaults(false, false, Duration.ZERO, 100));
        assertThat(
                kindOf(store.compareAndSet(KEY, 0, VALUE, Optional.empty())), is(Kind.ANSWER_LOST));
        assertThat(await(store.get(KEY)).get().text(), is("value"));
    }

    @Test
    void stallIsAnswerLostAndClosedPortIsUnreached() {
        server.setFaults(new PlatformFaults(false, true, Duration.ZERO, 0));
        assertThat(kindOf(store.get(KEY)), is(Kind.ANSWER_LOST));
        server.setFaults(new PlatformFaults(true, false, Duration.ZERO, 0));
        assertThat(
                kindOf(store.compareAndSet(KEY, 0, VALUE, Optional.empty())), is(Kind.ANSWER_LOST));
        server.stop().await().atMost(WAIT);
        // The client may not have detected yet that a pooled connection is closed; a new client
        // opens a new one.
        HttpKeyValueStore fresh = new HttpKeyValueStore(vertx, address, TIMEOUT);
        assertThat(
                kindOf(fresh.compareAndSet(KEY, 0, VALUE, Optional.empty())), is(Kind.UNREACHED));
        fresh.close();
    }

    /**
     * Guards against the answer to a call that has timed out being taken for that to a later one.
     */
    @Test
    void answerAfterTheTimeoutIsNotThatToALaterCall() {
        put("a", KeyValueStore.ABSENT);
        server.setFaults(new PlatformFaults(false, false, TIMEOUT.plusMillis(300), 0));
        List<Uni<Kind>> late = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            late.add(failureOf(store.get("a")));
        }
        assertThat(
                await(Uni.join().all(late).andCollectFailures()), everyItem(is(Kind.ANSWER_LOST)));
        server.setFaults(new PlatformFaults(false, false, Duration.ofMillis(600), 0));
        List<Uni<Optional<StoreEntry>>> next = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            next.add(store.get("b"));
        }
        assertThat(
                "b is absent",
                await(Uni.join().all(next).andCollectFailures()),
                everyItem(is(Optional.empty())));
    }

    @Test
    void closedPooledConnectionIsNotReused() {
        put(KEY, KeyValueStore.ABSENT);
        server.stop().await().atMost(WAIT);
        Kind first = kindOf(store.compareAndSet(KEY, 0, VALUE, Optional.empty()));
        assertThat(first, is(oneOf(Kind.ANSWER_LOST, Kind.UNREACHED)));
        assertThat(
                "the second call does not reuse the closed connection",
                kindOf(store.compareAndSet(KEY, 0, VALUE, Optional.empty())),
                is(Kind.UNREACHED));
    }

    private long put(String key, long expected) {
        return await(store.compareAndSet(key, expected, VALUE, Optional.empty()));
    }

    private static <T> T await(Uni<T> uni) {
        return uni.await().atMost(WAIT);
    }

    private static Uni<Kind> failureOf(Uni<?> uni) {
        return uni.onItem()
                .transform(r -> (Kind) null)
                .onFailure(StoreException.class)
                .recoverWithItem(e -> ((StoreException) e).kind());
    }

    private static Kind kindOf(Uni<?> uni) {
        Throwable e = assertThrows(CompletionException.class, () -> await(uni));
        return ((StoreException) e.getCause()).kind();
    }
}
