package org.crocusgrade.core.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * The value of the store entry {@code config/head}: the id of each service's stored file, and the
 * most recent publishes.
 *
 * @param version the version of the configuration; each publish increases it by one
 * @param publish the publish that created this version
 * @param services the id of each service's stored file; also that of the fleet policy, under {@link
 *     FleetPolicy#KEY}
 * @param history the most recent publishes, newest first, including the one that created this
 *     version
 */
public record ConfigHead(
        ConfigVersion version,
        PublishId publish,
        Map<ServiceId, BlobId> services,
        List<PublishRecord> history) {
    /** The key of the store entry. */
    public static final String KEY = "config/head";

    /** Maximum number of publishes in the history; older ones are dropped. */
    public static final int HISTORY = 32;

    /** The head before the first publish. */
    public static final ConfigHead NONE =
            new ConfigHead(ConfigVersion.NONE, FleetConfig.EMPTY.publish(), Map.of(), List.of());

    /** Checks the fields and copies the collections. */
    public ConfigHead {
        Objects.requireNonNull(version);
        Objects.requireNonNull(publish);
        services = java.util.Collections.unmodifiableMap(new TreeMap<>(services));
        history = List.copyOf(history);
    }

    /** Returns the key of the store entry that holds a file. */
    public static String blobKey(BlobId blob) {
        return "config/blob/" + blob;
    }

    /** Returns the id of a service's file, if the service is configured. */
    public Optional<BlobId> blob(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }

    /** Returns the publish that created a version, if the history still contains it. */
    public Optional<PublishRecord> findVersion(ConfigVersion wanted) {
        return history.stream().filter(r -> r.version().equals(wanted)).findFirst();
    }

    /** Returns the record of a publish, if the history still contains it. */
    public Optional<PublishRecord> find(PublishId wanted) {
        return history.stream().filter(r -> r.publish().equals(wanted)).findFirst();
    }

    /** Returns the latest publish that changed a service, if the history still contains it. */
    public Optional<PublishRecord> lastChange(ServiceId service) {
        return history.stream().filter(r -> r.changed().contains(service)).findFirst();
    }

    /**
     * Returns the head of the next version.
     *
     * @param replaced the file id of every service of the next version
     */
    public ConfigHead next(PublishId id, Instant at, Map<ServiceId, BlobId> replaced) {
        List<ServiceId> changed = new ArrayList<>();
        TreeMap<ServiceId, BlobId> all = new TreeMap<>(services);
        all.putAll(replaced);
        for (ServiceId service : all.keySet()) {
            if (!Objects.equals(services.get(service), replaced.get(service))) {
                changed.add(service);
            }
        }
        List<PublishRecord> records = new ArrayList<>();
        records.add(new PublishRecord(version.next(), id, at, changed));
        records.addAll(history.subList(0, Math.min(history.size(), HISTORY - 1)));
        return new ConfigHead(version.next(), id, replaced, records);
    }
}
