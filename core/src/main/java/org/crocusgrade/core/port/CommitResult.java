package org.crocusgrade.core.port;

import java.util.Map;

/**
 * The result of a transaction.
 *
 * @param applied whether all changes were made; if false, none was
 * @param revision the revision of the changes, if they were made
 * @param current if nothing was changed, the current entries of the condition keys, by key; keys
 *     that do not exist are left out
 */
public record CommitResult(boolean applied, long revision, Map<String, StoreEntry> current) {
    /** Copies the map. */
    public CommitResult {
        current = Map.copyOf(current);
    }

    /** Returns the current revision of a condition key; ABSENT if the key does not exist. */
    public long currentRevision(String key) {
        StoreEntry entry = current.get(key);
        return entry == null ? KeyValueStore.ABSENT : entry.revision();
    }
}
