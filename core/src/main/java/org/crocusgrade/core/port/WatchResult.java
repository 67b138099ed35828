package org.crocusgrade.core.port;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param revision the revision up to which the watch has seen everything
 * @param changed the entries under the prefix written since
 * @param deleted the keys under the prefix deleted or lapsed since
 */
public record WatchResult(long revision, List<StoreEntry> changed, List<String> deleted) {
    /** Copies the lists. */
    public WatchResult {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
    }
}
