package org.crocusgrade.standin.platform;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * One write that took effect.
 *
 * @param revision the service-wide revision that the write made
 * @param key the entry's key
 * @param value the new value, or nothing after a delete or a lapsed lease
 * @param at when it took effect
 */
public record Change(long revision, String key, Optional<byte[]> value, Instant at) {
    /** Checks the fields. */
    public Change {
        Objects.requireNonNull(key);
        Objects.requireNonNull(value);
        Objects.requireNonNull(at);
    }
}
