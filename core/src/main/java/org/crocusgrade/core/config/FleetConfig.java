package org.crocusgrade.core.config;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * An immutable snapshot of the configuration in force; a newer version replaces it as a whole.
 *
 * @param version its version; a daemon replaces it only by a higher one
 * @param publish the publish that created this version
 * @param services the services by id
 * @param policy the settings of the whole fleet
 */
public record FleetConfig(
        ConfigVersion version,
        PublishId publish,
        Map<ServiceId, ServiceConfig> services,
        FleetPolicy policy) {
    /** The configuration before the first publish. */
    public static final FleetConfig EMPTY =
            new FleetConfig(ConfigVersion.NONE, new PublishId("none"), Map.of());

    /** Copies the map. */
    public FleetConfig {
        Objects.requireNonNull(version);
        Objects.requireNonNull(publish);
        Objects.requireNonNull(policy);
        services = Map.copyOf(services);
    }

    /** Creates a configuration with {@link FleetPolicy#DEFAULT}. */
    public FleetConfig(
            ConfigVersion version, PublishId publish, Map<ServiceId, ServiceConfig> services) {
        this(version, publish, services, FleetPolicy.DEFAULT);
    }

    /** Returns a service's configuration, if the service is configured. */
    public Optional<ServiceConfig> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }
}
