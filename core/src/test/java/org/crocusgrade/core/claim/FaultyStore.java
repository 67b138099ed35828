package org.crocusgrade.core.claim;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;

/**
 * An in-memory store with random faults: a request is lost, its answer is lost, or the loss of an
 * answer is reported before the write takes effect. While {@code down}, it refuses all operations.
 */
final class FaultyStore implements KeyValueStore {
    private static final int MAX_DELAY_MILLIS = 40;

    final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    boolean down;
    int writes;
    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final double faultShare;
    private long revision;

    FaultyStore(VirtualTime time, UniformRandomProvider random, double faultShare) {
        this.time = time;
        this.random = random;
        this.faultShare = faultShare;
    }

    @Override
    public Uni<Optional<StoreEntry>> get(String key) {
        return later(() -> Optional.ofNullable(entries.get(key)));
    }

    @Override
    public Uni<List<StoreEntry>> list(String prefix) {
        return later(
                () ->
                        entries.values().stream()
                                .filter(entry -> entry.key().startsWith(prefix))
                                .toList());
    }

    @Override
    public Uni<Long> compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        if (!down && random.nextDouble() < faultShare / 2) {
            time.schedule(
                    () -> writeWithoutAnswer(key, expected, value), delay(), TimeUnit.MILLISECONDS);
            return fails(Kind.ANSWER_LOST);
        }
        return later(() -> write(key, expected, value));
    }

    private void writeWithoutAnswer(String key, long expected, byte[] value) {
        try {
            write(key, expected, value);
        } catch (StoreException e) {
            // The answer counts as lost, so the refusal is not reported.
            writes++;
        }
    }

    private long write(String key, long expected, byte[] value) throws StoreException {
        StoreEntry held = entries.get(key);
        if ((held == null ? ABSENT : held.revision()) != expected) {
            throw new StoreException(Kind.CONFLICT, "conflict");
        }
        revision++;
        writes++;
        entries.put(key, new StoreEntry(key, revision, value));
        return revision;
    }

    private <T> Uni<T> later(Call<T> call) {
        if (down) {
            return fails(Kind.UNREACHED);
        }
        boolean lostAfter = random.nextDouble() < faultShare / 4;
        boolean lostBefore = random.nextDouble() < faultShare / 4;
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.schedule(
                                        () -> {
                                            try {
                                                T item = lostBefore ? null : call.run();
                                                if (lostBefore || lostAfter) {
                                                    emitter.fail(lost());
                                                } else {
                                                    emitter.complete(item);
                                                }
                                            } catch (StoreException e) {
                                                emitter.fail(lostAfter ? lost() : e);
                                            }
                                        },
                                        delay(),
                                        TimeUnit.MILLISECONDS));
    }

    private <T> Uni<T> fails(Kind kind) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                time.schedule(
                                        () -> emitter.fail(new StoreException(kind, "fault")),
                                        delay(),
                                        TimeUnit.MILLISECONDS));
    }

    private static StoreException lost() {
        return new StoreException(Kind.ANSWER_LOST, "fault");
    }

    private int delay() {
        return random.nextInt(1, MAX_DELAY_MILLIS);
    }

    @Override
    public Uni<Void> delete(String key, long expected) {
        return later(
                () -> {
                    entries.remove(key);
                    return null;
                });
    }

    @Override
    public Uni<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<LeaseId> grantLease(Duration timeToLive) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<Void> renewLease(LeaseId lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<Void> revokeLease(LeaseId lease) {
        throw new UnsupportedOperationException();
    }

    private interface Call<T> {
        T run() throws StoreException;
    }
}
