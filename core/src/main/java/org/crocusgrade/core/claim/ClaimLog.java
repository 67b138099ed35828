package org.crocusgrade.core.claim;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;

/**
 * The log of claims of one shard, in the platform's service.
 *
 * <p>The log is a row of numbered entries. A writer makes entry n only if it is absent, and only
 * after it has applied all entries before n. So two writers can never both believe that they
 * claimed a key: the one that comes second at n is refused, reads what the first wrote there, and
 * judges its own wishes again at n + 1. No lock and no lease is needed for this; the lease of the
 * home daemon (see the daemon's claim package) only keeps writers from getting in each other's way
 * and lets one daemon say that a key is free.
 *
 * <p>Writes are grouped: all wishes that come while a write is on its way, or within the gap after
 * it, go into one entry. The gap bounds the writes a second of all shards together, whatever the
 * load. Worked case: wishes A and B come while entry 7 is written; both go into entry 8; its answer
 * is lost; the log reads entry 8, finds its own author id there, and grants both. Had it found
 * nothing, it would write the very same entry 8 again, which is safe as it either is there already
 * or is made now. Had it found another author's entry with A in it, A is told to be taken and B
 * goes into entry 9.
 *
 * <p>An entry whose fate is not known stays at the head until it is settled; wishes behind it wait,
 * and are told {@code UNAVAILABLE} when their time is over. Loading reads the whole log, which is
 * slow for a long one: its length is bounded by the retention and the gap.
 */
public final class ClaimLog {
    /** How long a claim is kept. After this a resubmitted key counts as new. */
    public static final Duration RETENTION = Duration.ofHours(1);

    /** The most entries that all shards together write in a second. */
    public static final int MAX_WRITES_PER_SECOND = 200;

    /** The shortest time between two entries of one shard. */
    static final Duration GAP =
            Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) * ClaimId.SHARDS / MAX_WRITES_PER_SECOND);

    /** The most claims in one entry, which keeps it well under the largest value. */
    static final int MAX_BATCH = 4096;

    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);
    private static final int MAX_EXPIRED_AT_ONCE = 16;

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService executor;
    private final int shard;
    private final String authorPrefix;
    private final ClaimIndex index = new ClaimIndex();
    private final Map<ClaimId, Wish> waiting = new LinkedHashMap<>();
    private final List<Claim> releases = new ArrayList<>();
    private long next = 1;
    private long author;
    private long writtenNanos;
    private boolean wrote;
    private boolean scheduled;
    private Pending pending;

    /**
     * Makes a log that is not loaded yet. All its methods run on the executor, one at a time.
     *
     * @param writer names this run; no two runs may share it
     */
    public ClaimLog(
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService executor,
            int shard,
            String writer) {
        this.store = Objects.requireNonNull(store);
        this.clock = Objects.requireNonNull(clock);
        this.executor = Objects.requireNonNull(executor);
        this.shard = shard;
        authorPrefix = Objects.requireNonNull(writer) + "/" + shard + "/";
    }

    /** Returns the prefix of the keys of a shard's entries. */
    public static String prefix(int shard) {
        return "claim/" + shard + "/log/";
    }

    private static String key(int shard, long sequence) {
        return prefix(shard) + String.format("%016d", sequence);
    }

    /** Reads all entries. */
    public Uni<Void> load() {
        return store.list(prefix(shard)).emitOn(executor).chain(this::applyAll);
    }

    private Uni<Void> applyAll(List<StoreEntry> entries) {
        for (StoreEntry entry : entries) {
            try {
                apply(sequenceOf(entry), ClaimBatchCodec.decode(entry.value()));
            } catch (ClaimException e) {
                return Uni.createFrom().failure(e);
            }
        }
        return Uni.createFrom().voidItem();
    }

    private static long sequenceOf(StoreEntry entry) {
        return Long.parseLong(entry.key().substring(entry.key().lastIndexOf('/') + 1));
    }

    /**
     * Wishes to claim a key. The verdict is given once, on the executor: as soon as the claim is
     * durable, or the key is known to be taken.
     */
    public void claim(Claim claim, Consumer<ClaimVerdict> verdict) {
        Optional<Claim> earlier = index.find(claim.id());
        Wish ahead = waiting.get(claim.id());
        if (earlier.isEmpty() && ahead != null) {
            earlier = Optional.of(ahead.claim);
        }
        if (earlier.isEmpty() && pending != null) {
            earlier = pending.find(claim.id());
        }
        if (earlier.isPresent()) {
            verdict.accept(ClaimVerdict.taken(earlier.get()));
            return;
        }
        waiting.put(claim.id(), new Wish(claim, verdict));
        schedule();
    }

    /** Gives a claim back: its request was not run and will not be under this claim. */
    public void release(Claim claim) {
        Wish wish = waiting.get(claim.id());
        if (wish != null && wish.claim.equals(claim)) {
            waiting.remove(claim.id());
            return;
        }
        if (index.find(claim.id()).filter(claim::equals).isPresent()) {
            index.release(claim);
            releases.add(claim);
            schedule();
            return;
        }
        if (pending != null && pending.find(claim.id()).filter(claim::equals).isPresent()) {
            releases.add(claim);
        }
    }

    /** Returns the number of claims in force. */
    public int size() {
        return index.size();
    }

    /** Returns whether nothing waits to be written. */
    public boolean isIdle() {
        return pending == null && waiting.isEmpty() && releases.isEmpty();
    }

    private void schedule() {
        if (scheduled || pending != null) {
            return;
        }
        scheduled = true;
        long since = clock.nanoTime() - writtenNanos;
        long pause = wrote ? Math.max(0, GAP.toNanos() - since) : 0;
        executor.schedule(this::flush, pause, TimeUnit.NANOSECONDS);
    }

    private void flush() {
        scheduled = false;
        if (pending != null || waiting.isEmpty() && releases.isEmpty()) {
            return;
        }
        List<Wish> wishes = waiting.values().stream().limit(MAX_BATCH).toList();
        wishes.forEach(wish -> waiting.remove(wish.claim.id()));
        int releaseCount = Math.min(MAX_BATCH, releases.size());
        List<Claim> released = List.copyOf(releases.subList(0, releaseCount));
        releases.subList(0, releaseCount).clear();
        author++;
        List<Claim> claims = wishes.stream().map(Wish::claim).toList();
        ClaimBatch batch = new ClaimBatch(authorPrefix + author, clock.now(), claims, released);
        pending = new Pending(batch, wishes);
        write();
    }

    private void write() {
        writtenNanos = clock.nanoTime();
        wrote = true;
        byte[] value = ClaimBatchCodec.encode(pending.batch);
        store.compareAndSet(key(shard, next), KeyValueStore.ABSENT, value, Optional.empty())
                .emitOn(executor)
                .subscribe()
                .with(revision -> settled(), this::onWriteFailure);
    }

    private void settled() {
        Pending done = pending;
        pending = null;
        apply(next, done.batch);
        done.wishes.forEach(wish -> wish.verdict.accept(ClaimVerdict.GRANTED));
        expire();
        if (!isIdle()) {
            schedule();
        }
    }

    private void onWriteFailure(Throwable failure) {
        boolean conflict =
                failure instanceof StoreException store
                        && store.kind() == StoreException.Kind.CONFLICT;
        if (conflict) {
            readBack();
            return;
        }
        executor.schedule(this::readBack, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void readBack() {
        store.get(key(shard, next))
                .emitOn(executor)
                .subscribe()
                .with(this::onReadBack, failure -> retryLater());
    }

    private void retryLater() {
        executor.schedule(this::readBack, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onReadBack(Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            write();
            return;
        }
        ClaimBatch found;
        try {
            found = ClaimBatchCodec.decode(entry.get().value());
        } catch (ClaimException e) {
            retryLater();
            return;
        }
        if (found.author().equals(pending.batch.author())) {
            settled();
            return;
        }
        apply(next, found);
        judgeAgain();
    }

    /** Judges all wishes again by the entry that took the refused one's place. */
    private void judgeAgain() {
        Pending refused = pending;
        pending = null;
        releases.addAll(0, refused.batch.released());
        List<Wish> wishes = new ArrayList<>(refused.wishes);
        wishes.addAll(waiting.values());
        waiting.clear();
        for (Wish wish : wishes) {
            Optional<Claim> earlier = index.find(wish.claim.id());
            if (earlier.isPresent()) {
                wish.verdict.accept(ClaimVerdict.taken(earlier.get()));
            } else {
                waiting.put(wish.claim.id(), wish);
            }
        }
        if (!isIdle()) {
            schedule();
        }
    }

    private void apply(long sequence, ClaimBatch batch) {
        index.apply(sequence, batch);
        next = Math.max(next, sequence + 1);
    }

    private void expire() {
        for (int i = 0; i < MAX_EXPIRED_AT_ONCE; i++) {
            OptionalLong expired = index.expire(clock.now().minus(RETENTION));
            if (expired.isEmpty()) {
                return;
            }
            delete(key(shard, expired.getAsLong()));
        }
    }

    private void delete(String key) {
        store.get(key)
                .chain(
                        entry ->
                                entry.isEmpty()
                                        ? Uni.createFrom().voidItem()
                                        : store.delete(key, entry.get().revision()))
                .subscribe()
                .with(done -> {}, failure -> {});
    }

    private record Wish(Claim claim, Consumer<ClaimVerdict> verdict) {}

    /** The entry on its way. */
    private record Pending(ClaimBatch batch, List<Wish> wishes) {
        Optional<Claim> find(ClaimId id) {
            for (Claim claim : batch.claimed()) {
                if (claim.id().equals(id)) {
                    return Optional.of(claim);
                }
            }
            return Optional.empty();
        }
    }
}
