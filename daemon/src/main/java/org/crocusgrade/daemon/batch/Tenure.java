package org.crocusgrade.daemon.batch;

import java.util.Objects;

/**
 * One daemon's time with a duty.
 *
 * @param duty the duty
 * @param key the store's key that says who holds it
 * @param token the revision of that key: the fencing token, which grows from tenure to tenure
 * @param term how often the duty has been taken, this time included
 */
public record Tenure(Duty duty, String key, long token, long term) {
    /** Checks the fields. */
    public Tenure {
        Objects.requireNonNull(duty);
        Objects.requireNonNull(key);
        if (token <= 0 || term <= 0) {
            throw new IllegalArgumentException("token and term must be above 0");
        }
    }
}
