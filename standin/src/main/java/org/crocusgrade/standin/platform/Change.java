package org.crocusgrade.standin.platform;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * One change of an entry in the stand-in key-value service.
 *
 * @param revision the service-wide revision that the change created
 * @param key the entry's key
 * @param value the new value; empty after a delete or the end of the entry's lease, and for a value
 *     too large for the history
 * @param at when the change took effect
 */
public record Change(long revision, String key, Optional<byte[]> value, Instant at) {
    /** Checks the fields. */
    public Change {
        Objects.requireNonNull(key);
        Objects.requireNonNull(value);
        Objects.requireNonNull(at);
    }
}
