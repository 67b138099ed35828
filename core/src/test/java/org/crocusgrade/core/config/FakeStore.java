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

/** A store in memory whose writes of the head can go wrong in a scripted way. */
final class FakeStore implements KeyValueStore {
    /** What becomes of a write of the head. */
    enum Fault {
        NONE,
        LOST_AFTER_WRITE,
        LOST_BEFORE_WRITE,
        LOST_AND_LATE,
        UNREACHED
    }

    final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    final Deque<Fault> faults = new ArrayDeque<>();
    final List<String> writes = new ArrayList<>();
    Predicate<String> readsDown = key -> false;
    Runnable beforeSwap = () -> {};
    private final List<Runnable> late = new ArrayList<>();
    private long revision;

    /** Lets the writes that were held back reach the store. */
    void deliverLate() {
        List<Runnable> due = List.copyOf(late);
        late.clear();
        due.forEach(Runnable::run);
    }

    @Override
    public Uni<Optional<StoreEntry>> get(String key) {
        return Uni.createFrom()
                .deferred(
                        () ->
                                readsDown.test(key)
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
            Runnable hook = beforeSwap;
            beforeSwap = () -> {};
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
            case LOST_AND_LATE:
                late.add(() -> put(key, expected, value));
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
