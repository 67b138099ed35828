package org.crocusgrade.core.config;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;

/** An in-memory store with scripted faults for writes of the configuration head. */
final class FakeStore implements KeyValueStore {
    /**
     * The outcome of a write of the head: whether it takes effect immediately, later or never, and
     * whether its answer is lost.
     */
    enum Fault {
        NONE,
        LOST_AFTER_WRITE,
        LOST_BEFORE_WRITE,
        LOST_AND_DELAYED,
        UNREACHED
    }

    final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    final Deque<Fault> faults = new ArrayDeque<>();
    final List<String> writes = new ArrayList<>();
    Predicate<String> failReads = key -> false;
    Runnable beforeHeadWrite = () -> {};
    private final List<Runnable> delayed = new ArrayList<>();
    private long revision;

    /** Applies the delayed writes to the store. */
    void deliverDelayed() {
        List<Runnable> due = List.copyOf(delayed);
        delayed.clear();
        due.forEach(Runnable::run);
    }

    @Override
    public Uni<Optional<StoreEntry>> get(String key) {
        return Uni.createFrom()
                .deferred(
                        () ->
                                failReads.test(key)
                                        ? failed(Kind.UNREACHED)
                                        : Uni.createFrom()
                                                .item(Optional.ofNullable(entries.get(key))));
    }

    @Override
    public Uni<List<StoreEntry>> list(String prefix) {
        return Uni.createFrom()
                .item(entries.values().stream().filter(e -> e.key().startsWith(prefix)).toList());
    }

    @Override
    public Uni<Long> compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        return Uni.createFrom().deferred(() -> write(key, expected, value));
    }

    private Uni<Long> write(String key, long expected, byte[] value) {
        Fault fault = Fault.NONE;
        if (key.equals(ConfigHead.KEY)) {
            Runnable hook = beforeHeadWrite;
            beforeHeadWrite = () -> {};
            hook.run();
            fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        }
        switch (fault) {
            case UNREACHED:
                return failed(Kind.UNREACHED);
            case LOST_BEFORE_WRITE:
                return failed(Kind.ANSWER_LOST);
            case LOST_AFTER_WRITE:
                put(key, expected, value);
                return failed(Kind.ANSWER_LOST);
            case LOST_AND_DELAYED:
                delayed.add(() -> put(key, expected, value));
                return failed(Kind.ANSWER_LOST);
            default:
                return put(key, expected, value)
                        ? Uni.createFrom().item(revision)
                        : failed(Kind.CONFLICT);
        }
    }

    private boolean put(String key, long expected, byte[] value) {
        StoreEntry now = entries.get(key);
        if ((now == null ? ABSENT : now.revision()) != expected) {
            return false;
        }
        entries.put(key, new StoreEntry(key, ++revision, value));
        writes.add(key);
        return true;
    }

    private static <T> Uni<T> failed(Kind kind) {
        return Uni.createFrom().failure(new StoreException(kind, "scripted " + kind));
    }

    @Override
    public Uni<Void> delete(String key, long expected) {
        entries.remove(key);
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        return failed(Kind.REFUSED);
    }

    @Override
    public Uni<LeaseId> grantLease(Duration timeToLive) {
        return failed(Kind.REFUSED);
    }

    @Override
    public Uni<Void> renewLease(LeaseId lease) {
        return failed(Kind.REFUSED);
    }

    @Override
    public Uni<Void> revokeLease(LeaseId lease) {
        return failed(Kind.REFUSED);
    }
}
