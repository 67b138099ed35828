package org.crocusgrade.core.config;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * The configuration in force: an immutable snapshot that is replaced whole.
 *
 * @param version its version; a daemon only ever takes a higher one
 * @param publish the publish that made it
 * @param services the services by id
 */
public record FleetConfig(
        ConfigVersion version, PublishId publish, Map<ServiceId, ServiceConfig> services) {
    /** The configuration before the first publish. */
    public static final FleetConfig EMPTY =
            new FleetConfig(ConfigVersion.NONE, new PublishId("none"), Map.of());

    /** Copies the map. */
    public FleetConfig {
        Objects.requireNonNull(version);
        Objects.requireNonNull(publish);
        services = Map.copyOf(services);
    }

    /** Returns a service's configuration, if there is one. */
    public Optional<ServiceConfig> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }
}
