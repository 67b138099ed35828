package org.crocusgrade.core.port;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An atomic set of changes to the platform's key-value service.
 *
 * @param expected the revision that each key must have; {@link KeyValueStore#ABSENT} if it must not
 *     exist
 * @param writes the entries to write
 * @param deletes the keys to delete
 */
public record StoreTransaction(
        Map<String, Long> expected, List<Write> writes, List<String> deletes) {
    /**
     * Maximum number of conditions, writes and deletions in total, set by the interface of the
     * service.
     */
    public static final int MAX_ENTRIES = 32;

    /** Copies the collections. */
    public StoreTransaction {
        expected = Map.copyOf(new LinkedHashMap<>(expected));
        writes = List.copyOf(writes);
        deletes = List.copyOf(deletes);
    }

    /** Starts an empty transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * One entry to write.
     *
     * @param lease the lease whose end deletes the entry, if any
     */
    public record Write(String key, byte[] value, Optional<LeaseId> lease) {
        /** Checks the fields. */
        public Write {
            Objects.requireNonNull(key);
            Objects.requireNonNull(value);
            Objects.requireNonNull(lease);
        }
    }

    /** Collects the conditions and changes of a transaction. */
    public static final class Builder {
        private final Map<String, Long> expected = new LinkedHashMap<>();
        private final List<Write> writes = new ArrayList<>();
        private final List<String> deletes = new ArrayList<>();

        /** Adds the condition that a key has a revision. */
        public Builder expect(String key, long revision) {
            expected.put(key, revision);
            return this;
        }

        /** Adds a write of an entry without a lease. */
        public Builder put(String key, byte[] value) {
            writes.add(new Write(key, value, Optional.empty()));
            return this;
        }

        /** Adds a write of an entry that is deleted when a lease ends. */
        public Builder put(String key, byte[] value, LeaseId lease) {
            writes.add(new Write(key, value, Optional.of(lease)));
            return this;
        }

        /** Adds the deletion of a key. */
        public Builder delete(String key) {
            deletes.add(key);
            return this;
        }

        /** Returns how many more conditions, writes and deletions may be added. */
        public int room() {
            return MAX_ENTRIES - expected.size() - writes.size() - deletes.size();
        }

        /** Returns the transaction. */
        public StoreTransaction build() {
            return new StoreTransaction(expected, writes, deletes);
        }
    }
}
