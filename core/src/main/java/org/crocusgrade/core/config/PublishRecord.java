package org.crocusgrade.core.config;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * One publish in the history of the configuration head.
 *
 * @param version the version that it created
 * @param publish the publish's id
 * @param at the time of the publish, by the publisher's clock
 * @param changed the services that it added, changed or removed
 */
public record PublishRecord(
        ConfigVersion version, PublishId publish, Instant at, List<ServiceId> changed) {
    /** Checks the fields and copies the list. */
    public PublishRecord {
        Objects.requireNonNull(version);
        Objects.requireNonNull(publish);
        Objects.requireNonNull(at);
        changed = List.copyOf(changed);
    }
}
