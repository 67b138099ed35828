package org.crocusgrade.core.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.IdempotencyKey;
import org.crocusgrade.core.id.RequestId;

/**
 * One caller's request, as far as decisions need it.
 *
 * @param id its id, also that of its first attempt
 * @param customer who sent it
 * @param deadlineNanos when its answer is due, on the monotonic clock
 * @param urgent whether it goes before work that is not urgent
 * @param idempotent whether it may run twice
 * @param key the caller's idempotency key, if it sent one
 * @param needs what it needs of a worker
 */
public record Request(
        RequestId id,
        CustomerId customer,
        long deadlineNanos,
        boolean urgent,
        boolean idempotent,
        Optional<IdempotencyKey> key,
        Needs needs) {
    /** Checks that no field is missing. */
    public Request {
        Objects.requireNonNull(id);
        Objects.requireNonNull(customer);
        Objects.requireNonNull(key);
        Objects.requireNonNull(needs);
    }
}
