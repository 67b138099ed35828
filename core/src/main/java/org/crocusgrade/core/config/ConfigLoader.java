package org.crocusgrade.core.config;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;

/**
 * Loads the configuration from the platform's key-value service; reads only the files that the
 * caller's bundle does not have.
 */
public final class ConfigLoader {
    private static final int CONCURRENT_READS = 4;

    private final KeyValueStore store;

    public ConfigLoader(KeyValueStore store) {
        this.store = store;
    }

    /**
     * A bundle and the store revision of the head that it was loaded from.
     *
     * @param bundle the configuration
     * @param revision the head's revision, or {@link KeyValueStore#ABSENT}
     */
    public record Loaded(ConfigBundle bundle, long revision) {}

    /** Loads the stored configuration, whatever its version. */
    public Uni<Loaded> load(ConfigBundle current) {
        return store.get(ConfigHead.KEY).chain(head -> load(head, current));
    }

    /**
     * Loads the stored configuration if it is newer than the current bundle, else returns the
     * current bundle.
     */
    public Uni<ConfigBundle> newer(ConfigBundle current) {
        return store.get(ConfigHead.KEY).chain(head -> newer(head, current));
    }

    /** As {@link #newer(ConfigBundle)}, with a head entry that a watch has delivered. */
    public Uni<ConfigBundle> newer(Optional<StoreEntry> entry, ConfigBundle current) {
        if (entry.isEmpty()) {
            return Uni.createFrom().item(current);
        }
        try {
            ConfigHead head = ConfigHeadCodec.read(entry.get().value());
            if (head.version().compareTo(current.head().version()) <= 0) {
                return Uni.createFrom().item(current);
            }
        } catch (ConfigException e) {
            return Uni.createFrom().failure(e);
        }
        return load(entry, current).map(Loaded::bundle);
    }

    private Uni<Loaded> load(Optional<StoreEntry> entry, ConfigBundle current) {
        if (entry.isEmpty()) {
            return Uni.createFrom().item(new Loaded(ConfigBundle.EMPTY, KeyValueStore.ABSENT));
        }
        ConfigHead head;
        try {
            head = ConfigHeadCodec.read(entry.get().value());
        } catch (ConfigException e) {
            return Uni.createFrom().failure(e);
        }
        List<BlobId> missing = new ArrayList<>(current.missingFileIds(head));
        return Multi.createFrom()
                .iterable(missing)
                .onItem()
                .transformToUni(blob -> store.get(ConfigHead.blobKey(blob)))
                .merge(CONCURRENT_READS)
                .collect()
                .asList()
                .chain(found -> assemble(head, found, current))
                .map(bundle -> new Loaded(bundle, entry.get().revision()));
    }

    private static Uni<ConfigBundle> assemble(
            ConfigHead head, List<Optional<StoreEntry>> found, ConfigBundle current) {
        Map<BlobId, String> files = new HashMap<>();
        for (Optional<StoreEntry> file : found) {
            file.ifPresent(f -> files.put(BlobId.of(f.text()), f.text()));
        }
        try {
            return Uni.createFrom().item(ConfigBundle.assemble(head, files, current));
        } catch (ConfigException e) {
            return Uni.createFrom().failure(e);
        }
    }
}
