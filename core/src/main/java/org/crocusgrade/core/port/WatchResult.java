package org.crocusgrade.core.port;

import java.util.List;

/**
 * The changes that a watch observed.
 *
 * @param revision the revision up to which all changes are included
 * @param changed the entries under the prefix written since
 * @param deleted the keys under the prefix that were deleted, or whose lease ended, since
 */
public record WatchResult(long revision, List<StoreEntry> changed, List<String> deleted) {
    /** Copies the lists. */
    public WatchResult {
        changed = List.copyOf(changed);
        deleted = List.copyOf(deleted);
    }
}
