package org.crocusgrade.core.config;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * One publish in the history that the head carries.
 *
 * @param version the version that it made
 * @param publish its id
 * @param at when, by the publisher's clock
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
