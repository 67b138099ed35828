package org.crocusgrade.daemon.batch;

import java.util.Objects;

/**
 * The period in which one daemon holds a duty.
 *
 * @param duty the duty
 * @param key the key in the store that names the holder
 * @param token the revision of that key: the fencing token, which increases with each ownership
 * @param term how often the duty has been acquired, this time included
 */
public record DutyOwnership(Duty duty, String key, long token, long term) {
    /** Rejects null fields, and a token or term below 1. */
    public DutyOwnership {
        Objects.requireNonNull(duty);
        Objects.requireNonNull(key);
        if (token <= 0 || term <= 0) {
            throw new IllegalArgumentException("token and term must be positive");
        }
    }
}
