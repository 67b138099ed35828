package org.crocusgrade.core.port;

import java.util.Map;

/**
 * The service's answer to a transaction.
 *
 * @param applied whether all changes were made; else none was
 * @param revision the changes' revision, if they were made
 * @param current the entries of the conditions as they are, by key, if nothing was changed; a key
 *     that does not exist is left out
 */
public record CommitResult(boolean applied, long revision, Map<String, StoreEntry> current) {
    /** Copies the map. */
    public CommitResult {
        current = Map.copyOf(current);
    }

    /** Returns the revision that a key of the conditions has now. */
    public long currentRevision(String key) {
        StoreEntry entry = current.get(key);
        return entry == null ? KeyValueStore.ABSENT : entry.revision();
    }
}
