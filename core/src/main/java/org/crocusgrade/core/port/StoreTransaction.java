package org.crocusgrade.core.port;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Changes to the platform's key-value service that happen all or not at all.
 *
 * @param expected the revision that each key must have; {@link KeyValueStore#ABSENT} for none
 * @param writes the entries to write
 * @param deletes the keys to delete
 */
public record StoreTransaction(
        Map<String, Long> expected, List<Write> writes, List<String> deletes) {
    /** Most conditions, writes and deletions in one transaction, from the service's interface. */
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
     * @param lease the lease with which the entry is to lapse, if any
     */
    public record Write(String key, byte[] value, Optional<LeaseId> lease) {
        /** Checks the fields. */
        public Write {
            Objects.requireNonNull(key);
            Objects.requireNonNull(value);
            Objects.requireNonNull(lease);
        }
    }

    /** Collects a transaction. */
    public static final class Builder {
        private final Map<String, Long> expected = new LinkedHashMap<>();
        private final List<Write> writes = new ArrayList<>();
        private final List<String> deletes = new ArrayList<>();

        /** Demands a key's revision. */
        public Builder expect(String key, long revision) {
            expected.put(key, revision);
            return this;
        }

        /** Writes an entry that stays. */
        public Builder put(String key, byte[] value) {
            writes.add(new Write(key, value, Optional.empty()));
            return this;
        }

        /** Writes an entry that lapses with a lease. */
        public Builder put(String key, byte[] value, LeaseId lease) {
            writes.add(new Write(key, value, Optional.of(lease)));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            deletes.add(key);
            return this;
        }

        /** Returns how many more conditions, writes and deletions there is room for. */
        public int room() {
            return MAX_ENTRIES - expected.size() - writes.size() - deletes.size();
        }

        /** Returns the transaction. */
        public StoreTransaction build() {
            return new StoreTransaction(expected, writes, deletes);
        }
    }
}
