package org.crocusgrade.core.port;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * One entry of the platform's key-value service.
 *
 * @param key the entry's key
 * @param revision the service-wide revision of its last write, above 0
 * @param value its bytes, at most 1 MiB; must not be modified
 */
public record StoreEntry(String key, long revision, byte[] value) {
    /** Checks the fields. */
    public StoreEntry {
        Objects.requireNonNull(key);
        Objects.requireNonNull(value);
        if (revision <= 0) {
            throw new IllegalArgumentException("revision must be above 0");
        }
    }

    /** Returns the value as UTF-8 text. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
