package org.crocusgrade.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.WatchResult;

/**
 * The entries and leases of the stand-in key-value service. A single service-wide revision is
 * incremented by every write and every delete. Deleted keys are kept with the revision of their
 * deletion, so that a watch from an earlier revision reports them as well. Once more than {@link
 * #MAX_DELETED_KEYS} are kept, all of them are dropped, and a watch from a revision before that
 * point is refused.
 */
public final class KeyValueState {
    /** Longest key, in characters. */
    public static final int MAX_KEY_CHARS = 512;

    private static final int MAX_DELETED_KEYS = 100_000;
    private static final int MAX_HISTORY = 100_000;
    private static final int MAX_HISTORY_VALUE_BYTES = 16 << 10;

    private record Lease(Duration timeToLive, long renewedNanos, Set<String> keys) {
        boolean expired(long nowNanos) {
            return nowNanos - renewedNanos >= timeToLive.toNanos();
        }
    }

    private final Clock clock;
    private final NavigableMap<String, StoreEntry> entries = new TreeMap<>();
    private final NavigableMap<String, Long> deleted = new TreeMap<>();
    private final Map<String, LeaseId> leaseOfKey = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision;
    private long nextLease = 1;
    private long compactedRevision;

    /** Creates an empty state. */
    public KeyValueState(Clock clock) {
        this.clock = Objects.requireNonNull(clock);
    }

    /** Returns the service-wide revision. */
    public synchronized long revision() {
        return revision;
    }

    /** Returns the entry with the key, if there is one. */
    public synchronized Optional<StoreEntry> get(String key) {
        expire();
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns the entries whose keys start with the prefix, in order of key. */
    public synchronized List<StoreEntry> list(String prefix) {
        expire();
        List<StoreEntry> matching = new ArrayList<>();
        for (StoreEntry entry : entries.tailMap(prefix, true).values()) {
            if (!entry.key().startsWith(prefix)) {
                break;
            }
            matching.add(entry);
        }
        return matching;
    }

    /**
     * Writes an entry if its revision is the expected one, and returns the new revision. The
     * entry's previous lease, if any, is replaced by the given one.
     */
    public synchronized long compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease)
            throws StoreException {
        expire();
        requireKey(key);
        if (value.length > KeyValueStore.MAX_VALUE_BYTES) {
            throw new StoreException(Kind.REFUSED, "value is over 1 MiB");
        }
        requireRevision(key, expected);
        if (lease.isPresent() && !leases.containsKey(lease.get())) {
            throw new StoreException(Kind.LEASE_LOST, "no such lease: " + lease.get().value());
        }
        detach(key);
        lease.ifPresent(id -> attach(key, id));
        entries.put(key, new StoreEntry(key, ++revision, value.clone()));
        deleted.remove(key);
        record(key, Optional.of(value));
        return revision;
    }

    /** Deletes an entry if its revision is the expected one. */
    public synchronized void delete(String key, long expected) throws StoreException {
        expire();
        requireKey(key);
        if (expected == KeyValueStore.ABSENT) {
            throw new StoreException(Kind.REFUSED, "an absent entry cannot be deleted");
        }
        requireRevision(key, expected);
        remove(key);
    }

    /** Returns the changes under the prefix after a revision, or nothing if there are none. */
    public synchronized Optional<WatchResult> changesAfter(String prefix, long after)
            throws StoreException {
        expire();
        if (after < compactedRevision) {
            throw new StoreException(Kind.REFUSED, "revision is too old to watch from; list again");
        }
        List<StoreEntry> changed = new ArrayList<>();
        for (StoreEntry entry : list(prefix)) {
            if (entry.revision() > after) {
                changed.add(entry);
            }
        }
        List<String> deletedKeys = new ArrayList<>();
        for (Map.Entry<String, Long> entry : deleted.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue() > after) {
                deletedKeys.add(entry.getKey());
            }
        }
        if (changed.isEmpty() && deletedKeys.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new WatchResult(revision, changed, deletedKeys));
    }

    /** Creates a lease that expires unless it is renewed within its time to live. */
    public synchronized LeaseId grantLease(Duration timeToLive) throws StoreException {
        if (timeToLive.isNegative() || timeToLive.isZero()) {
            throw new StoreException(Kind.REFUSED, "time to live must be above 0");
        }
        LeaseId id = new LeaseId(nextLease++);
        leases.put(id, new Lease(timeToLive, clock.nanoTime(), new HashSet<>()));
        return id;
    }

    /** Renews a lease for its full time to live. */
    public synchronized void renewLease(LeaseId id) throws StoreException {
        expire();
        Lease lease = requireLease(id);
        leases.put(id, new Lease(lease.timeToLive(), clock.nanoTime(), lease.keys()));
    }

    /** Ends a lease and deletes the entries that are attached to it. */
    public synchronized void revokeLease(LeaseId id) throws StoreException {
        expire();
        endLease(id, requireLease(id));
    }

    /** Ends the leases that have expired; returns whether this deleted any entry. */
    public synchronized boolean expire() {
        long now = clock.nanoTime();
        long before = revision;
        for (Map.Entry<LeaseId, Lease> entry : new ArrayList<>(leases.entrySet())) {
            if (entry.getValue().expired(now)) {
                endLease(entry.getKey(), entry.getValue());
            }
        }
        return revision != before;
    }

    /**
     * Returns the changes under the prefix, oldest first, out of the last {@link #MAX_HISTORY}
     * changes of the service.
     */
    public synchronized List<Change> history(String prefix) {
        List<Change> matching = new ArrayList<>();
        for (Change change : history) {
            if (change.key().startsWith(prefix)) {
                matching.add(change);
            }
        }
        return matching;
    }

    private void requireKey(String key) throws StoreException {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            throw new StoreException(
                    Kind.REFUSED, "key must have 1 to " + MAX_KEY_CHARS + " characters");
        }
    }

    private void requireRevision(String key, long expected) throws StoreException {
        StoreEntry entry = entries.get(key);
        long actual = entry == null ? KeyValueStore.ABSENT : entry.revision();
        if (actual != expected) {
            throw new StoreException(
                    Kind.CONFLICT, key + " has revision " + actual + ", not " + expected);
        }
    }

    private Lease requireLease(LeaseId id) throws StoreException {
        Lease lease = leases.get(id);
        if (lease == null) {
            throw new StoreException(Kind.LEASE_LOST, "no such lease: " + id.value());
        }
        return lease;
    }

    private void attach(String key, LeaseId id) {
        leases.get(id).keys().add(key);
        leaseOfKey.put(key, id);
    }

    private void detach(String key) {
        LeaseId id = leaseOfKey.remove(key);
        if (id != null) {
            leases.get(id).keys().remove(key);
        }
    }

    private void endLease(LeaseId id, Lease lease) {
        for (String key : new ArrayList<>(lease.keys())) {
            remove(key);
        }
        leases.remove(id);
    }

    private void remove(String key) {
        detach(key);
        entries.remove(key);
        deleted.put(key, ++revision);
        record(key, Optional.empty());
        if (deleted.size() > MAX_DELETED_KEYS) {
            deleted.clear();
            compactedRevision = revision;
        }
    }

    private void record(String key, Optional<byte[]> value) {
        Optional<byte[]> historyValue = value.filter(v -> v.length <= MAX_HISTORY_VALUE_BYTES);
        history.addLast(new Change(revision, key, historyValue, clock.now()));
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
    }
}
