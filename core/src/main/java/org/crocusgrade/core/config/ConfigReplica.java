package org.crocusgrade.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Takes configurations that other daemons hand over, and keeps the newest.
 *
 * <p>A configuration is taken only whole, checked, and when its version is higher than the one
 * held; so a daemon never goes back, whatever arrives in whatever order. Files are named by their
 * digests: one that a head does not name is dropped, and what is kept for an incomplete head is
 * bounded. Not thread-safe.
 */
public final class ConfigReplica {
    /** Most characters kept for a head that is not complete. */
    private static final int MAX_PENDING_CHARS = 16 << 20;

    private ConfigBundle held = ConfigBundle.EMPTY;
    private ConfigHead pending = ConfigHead.NONE;
    private final Map<BlobId, String> files = new HashMap<>();

    /** What became of something handed over. */
    public enum Result {
        /** It is not newer than what is held. */
        OLD,
        /** Files are missing; they must be asked for. */
        INCOMPLETE,
        /** It is now held. */
        TAKEN
    }

    /** Returns the configuration held. */
    public ConfigBundle held() {
        return held;
    }

    /** Takes a whole configuration, from the platform, if it is newer. */
    public Result take(ConfigBundle bundle) {
        if (!bundle.newerThan(held)) {
            return Result.OLD;
        }
        held = bundle;
        if (pending.version().compareTo(held.head().version()) <= 0) {
            pending = ConfigHead.NONE;
            files.clear();
        }
        return Result.TAKEN;
    }

    /** Takes a head and files from another daemon. */
    public Result take(ConfigHead head, Collection<String> texts) throws ConfigException {
        if (head.version().compareTo(held.head().version()) <= 0
                || head.version().compareTo(pending.version()) < 0) {
            return Result.OLD;
        }
        pending = head;
        Set<BlobId> lacking = held.lacks(head);
        files.keySet().retainAll(lacking);
        int size = files.values().stream().mapToInt(String::length).sum();
        for (String text : texts) {
            BlobId id = BlobId.of(text);
            size += text.length();
            if (lacking.contains(id) && size <= MAX_PENDING_CHARS) {
                files.put(id, text);
            }
        }
        if (!files.keySet().containsAll(lacking)) {
            return Result.INCOMPLETE;
        }
        try {
            return take(ConfigBundle.assemble(head, files, held));
        } catch (ConfigException e) {
            pending = ConfigHead.NONE;
            files.clear();
            throw e;
        }
    }

    /** Returns the files that the newest head heard of still lacks. */
    public Set<BlobId> lacking() {
        Set<BlobId> lacking = held.lacks(pending);
        lacking.removeAll(files.keySet());
        return lacking;
    }
}
