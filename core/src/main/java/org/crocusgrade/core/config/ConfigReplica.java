package org.crocusgrade.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A daemon's local copy of the configuration, updated from the platform and from other daemons.
 *
 * <p>An update is accepted only if it is complete and valid and has a higher version than the
 * current one, so a daemon never reverts to an older version, whatever the order in which updates
 * arrive. Files are identified by their digests: a file that the head does not list is discarded,
 * and the files kept for an incomplete head are bounded in size. Not thread-safe.
 */
public final class ConfigReplica {
    /** Maximum total length, in characters, of the files kept for an incomplete head. */
    private static final int MAX_PENDING_CHARS = 16 << 20;

    private ConfigBundle current = ConfigBundle.EMPTY;
    private ConfigHead pending = ConfigHead.NONE;
    private final Map<BlobId, String> pendingFiles = new HashMap<>();

    /** The outcome of an update. */
    public enum Result {
        /** Ignored: it is not newer than the current version, or older than the pending head. */
        STALE,
        /** The head is pending; files that it lists are missing and must be requested. */
        INCOMPLETE,
        /** It is now the current version. */
        APPLIED
    }

    /** Returns the current configuration. */
    public ConfigBundle current() {
        return current;
    }

    /** Applies a complete configuration, such as one read from the platform, if it is newer. */
    public Result apply(ConfigBundle bundle) {
        if (!bundle.newerThan(current)) {
            return Result.STALE;
        }
        current = bundle;
        if (pending.version().compareTo(current.head().version()) <= 0) {
            pending = ConfigHead.NONE;
            pendingFiles.clear();
        }
        return Result.APPLIED;
    }

    /**
     * Applies a head and files from another daemon. While files of the head are missing, those
     * received are kept for later calls, unless a newer head does not list them. They are discarded
     * if the assembled configuration is invalid.
     */
    public Result apply(ConfigHead head, Collection<String> texts) throws ConfigException {
        if (head.version().compareTo(current.head().version()) <= 0
                || head.version().compareTo(pending.version()) < 0) {
            return Result.STALE;
        }
        pending = head;
        Set<BlobId> missing = current.missingFileIds(head);
        pendingFiles.keySet().retainAll(missing);
        int size = pendingFiles.values().stream().mapToInt(String::length).sum();
        for (String text : texts) {
            BlobId id = BlobId.of(text);
            size += text.length();
            if (missing.contains(id) && size <= MAX_PENDING_CHARS) {
                pendingFiles.put(id, text);
            }
        }
        if (!pendingFiles.keySet().containsAll(missing)) {
            return Result.INCOMPLETE;
        }
        try {
            return apply(ConfigBundle.assemble(head, pendingFiles, current));
        } catch (ConfigException e) {
            pending = ConfigHead.NONE;
            pendingFiles.clear();
            throw e;
        }
    }

    /** Returns the ids of the files that the pending head lists and that have not been received. */
    public Set<BlobId> missingFileIds() {
        Set<BlobId> missing = current.missingFileIds(pending);
        missing.removeAll(pendingFiles.keySet());
        return missing;
    }
}
