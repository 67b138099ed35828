package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service. Each Uni fails with a {@link StoreException}. Every call,
 * including a waiting watch, counts against the rate limits of the service.
 */
public interface KeyValueStore {
    /** The revision that an absent entry has in {@link #compareAndSet}. */
    long ABSENT = 0;

    /** The largest size of a value. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads one entry. */
    Uni<Optional<StoreEntry>> get(String key);

    /** Reads all entries whose keys start with the prefix, in order of key. */
    Uni<List<StoreEntry>> list(String prefix);

    /** Reads all entries under the prefix and the revision from which a watch can continue. */
    default Uni<WatchResult> snapshot(String prefix) {
        return list(prefix)
                .map(
                        found -> {
                            long last = 0;
                            for (StoreEntry entry : found) {
                                last = Math.max(last, entry.revision());
                            }
                            return new WatchResult(last, found, List.of());
                        });
    }

    /**
     * Writes an entry if its revision is the expected one.
     *
     * @param expected the revision read before, or {@link #ABSENT}
     * @param lease the lease whose end deletes the entry, if any
     * @return the new revision
     */
    Uni<Long> compareAndSet(String key, long expected, byte[] value, Optional<LeaseId> lease);

    /** Deletes an entry if its revision is the expected one. */
    Uni<Void> delete(String key, long expected);

    /** Waits until something under the prefix changes after the revision, or the wait ends. */
    Uni<WatchResult> watch(String prefix, long afterRevision, Duration wait);

    /** Creates a lease that expires unless it is renewed within its time to live. */
    Uni<LeaseId> grantLease(Duration timeToLive);

    /** Renews a lease for its full time to live. */
    Uni<Void> renewLease(LeaseId lease);

    /** Ends a lease and deletes the entries attached to it. */
    Uni<Void> revokeLease(LeaseId lease);
}
