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
 * The log of the claims of one shard, in the platform's key-value store.
 *
 * <p>The log is a series of numbered entries. A writer creates entry n only if it is absent, and
 * only after it has applied all entries before n. So two writers can never both conclude that they
 * claimed a key: the second to write n is refused, reads the entry that the first wrote there, and
 * evaluates its own requests again for n + 1. This needs neither a lock nor a lease. Daemons route
 * the claims of a shard to one of them (see the daemon's claim package); this only reduces
 * conflicts between writers and lets one daemon decide that a key is free.
 *
 * <p>Writes are grouped: all requests that arrive while a write is in progress, or within the
 * minimum interval after it, go into one entry. The interval bounds the writes per second of all
 * shards together, whatever the load.
 *
 * <p>Example: requests A and B arrive while entry 7 is written, and both go into entry 8. If the
 * answer to that write is lost, the log reads entry 8. If it finds its own author id there, it
 * grants both. If it finds no entry, it writes the same entry 8 again, which is safe because the
 * entry either exists already or is created now. If it finds another author's entry that contains
 * A, the verdict on A is {@code TAKEN} and B goes into entry 9.
 *
 * <p>After a write with an unknown result, the log writes no other entry until the result is known;
 * requests that queue meanwhile are answered {@code UNAVAILABLE} by the daemon when their timeout
 * passes.
 *
 * <p>Load: loading reads the whole log, which is slow for a long one; its length is bounded by the
 * retention and the minimum interval.
 */
public final class ClaimLog {
    /** How long a claim is kept. After this, a resubmitted key counts as new. */
    public static final Duration RETENTION = Duration.ofHours(1);

    /** The maximum number of entries that all shards together write per second. */
    public static final int MAX_WRITES_PER_SECOND = 200;

    /** The minimum interval between two entries of one shard. */
    static final Duration MIN_WRITE_INTERVAL =
            Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) * ClaimId.SHARDS / MAX_WRITES_PER_SECOND);

    /**
     * The maximum number of claims in one entry, and of releases; it keeps the entry well below the
     * store's maximum value size.
     */
    static final int MAX_CLAIMS_PER_ENTRY = 4096;

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final int MAX_EXPIRED_PER_WRITE = 16;

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService executor;
    private final int shard;
    private final String authorPrefix;
    private final ClaimIndex index = new ClaimIndex();
    private final Map<ClaimId, ClaimRequest> queue = new LinkedHashMap<>();
    private final List<Claim> releases = new ArrayList<>();
    private long nextSequence = 1;
    private long batchCount;
    private long lastWriteNanos;
    private boolean hasWritten;
    private boolean scheduled;
    private PendingWrite pending;

    /**
     * Creates a log that is not loaded yet. All its methods are to be called on the executor, one
     * at a time.
     *
     * @param writer the id of this writer; no two processes may share it
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

    /** Returns the prefix of the store keys of a shard's entries. */
    public static String prefix(int shard) {
        return "claim/" + shard + "/log/";
    }

    private static String key(int shard, long sequence) {
        return prefix(shard) + String.format("%016d", sequence);
    }

    /** Reads and applies all entries; fails if one cannot be decoded. */
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
     * Requests a claim. The verdict is given once, on the executor: when the claim is durable, or
     * as soon as it is known that the key is taken.
     */
    public void claim(Claim claim, Consumer<ClaimVerdict> verdict) {
        Optional<Claim> earlier = index.find(claim.id());
        ClaimRequest queued = queue.get(claim.id());
        if (earlier.isEmpty() && queued != null) {
            earlier = Optional.of(queued.claim);
        }
        if (earlier.isEmpty() && pending != null) {
            earlier = pending.find(claim.id());
        }
        if (earlier.isPresent()) {
            verdict.accept(ClaimVerdict.taken(earlier.get()));
            return;
        }
        queue.put(claim.id(), new ClaimRequest(claim, verdict));
        schedule();
    }

    /** Releases a claim whose request was not run and will not be run under it. */
    public void release(Claim claim) {
        ClaimRequest request = queue.get(claim.id());
        if (request != null && request.claim.equals(claim)) {
            queue.remove(claim.id());
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

    /** Returns whether no claim or release waits to be written. */
    public boolean isIdle() {
        return pending == null && queue.isEmpty() && releases.isEmpty();
    }

    private void schedule() {
        if (scheduled || pending != null) {
            return;
        }
        scheduled = true;
        long sinceLastWriteNanos = clock.nanoTime() - lastWriteNanos;
        long delayNanos =
                hasWritten ? Math.max(0, MIN_WRITE_INTERVAL.toNanos() - sinceLastWriteNanos) : 0;
        executor.schedule(this::flush, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void flush() {
        scheduled = false;
        if (pending != null || queue.isEmpty() && releases.isEmpty()) {
            return;
        }
        List<ClaimRequest> requests = queue.values().stream().limit(MAX_CLAIMS_PER_ENTRY).toList();
        requests.forEach(request -> queue.remove(request.claim.id()));
        int releaseCount = Math.min(MAX_CLAIMS_PER_ENTRY, releases.size());
        List<Claim> released = List.copyOf(releases.subList(0, releaseCount));
        releases.subList(0, releaseCount).clear();
        batchCount++;
        List<Claim> claims = requests.stream().map(ClaimRequest::claim).toList();
        ClaimBatch batch = new ClaimBatch(authorPrefix + batchCount, clock.now(), claims, released);
        pending = new PendingWrite(batch, requests);
        write();
    }

    private void write() {
        lastWriteNanos = clock.nanoTime();
        hasWritten = true;
        byte[] value = ClaimBatchCodec.encode(pending.batch);
        store.compareAndSet(key(shard, nextSequence), KeyValueStore.ABSENT, value, Optional.empty())
                .emitOn(executor)
                .subscribe()
                .with(revision -> onWritten(), this::onWriteFailure);
    }

    private void onWritten() {
        PendingWrite done = pending;
        pending = null;
        apply(nextSequence, done.batch);
        done.requests.forEach(request -> request.verdict.accept(ClaimVerdict.GRANTED));
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
        executor.schedule(this::readBack, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void readBack() {
        store.get(key(shard, nextSequence))
                .emitOn(executor)
                .subscribe()
                .with(this::onEntryRead, failure -> scheduleReadBack());
    }

    private void scheduleReadBack() {
        executor.schedule(this::readBack, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onEntryRead(Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            write();
            return;
        }
        ClaimBatch found;
        try {
            found = ClaimBatchCodec.decode(entry.get().value());
        } catch (ClaimException e) {
            scheduleReadBack();
            return;
        }
        if (found.author().equals(pending.batch.author())) {
            onWritten();
            return;
        }
        apply(nextSequence, found);
        reevaluate();
    }

    /**
     * Evaluates all requests again, after another writer's entry took the number of the refused
     * one.
     */
    private void reevaluate() {
        PendingWrite refused = pending;
        pending = null;
        releases.addAll(0, refused.batch.released());
        List<ClaimRequest> requests = new ArrayList<>(refused.requests);
        requests.addAll(queue.values());
        queue.clear();
        for (ClaimRequest request : requests) {
            Optional<Claim> earlier = index.find(request.claim.id());
            if (earlier.isPresent()) {
                request.verdict.accept(ClaimVerdict.taken(earlier.get()));
            } else {
                queue.put(request.claim.id(), request);
            }
        }
        if (!isIdle()) {
            schedule();
        }
    }

    private void apply(long sequence, ClaimBatch batch) {
        index.apply(sequence, batch);
        nextSequence = Math.max(nextSequence, sequence + 1);
    }

    private void expire() {
        for (int i = 0; i < MAX_EXPIRED_PER_WRITE; i++) {
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

    private record ClaimRequest(Claim claim, Consumer<ClaimVerdict> verdict) {}

    /** The entry whose write is in progress. */
    private record PendingWrite(ClaimBatch batch, List<ClaimRequest> requests) {
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
