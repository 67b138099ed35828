package org.crocusgrade.core.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.IdempotencyKey;
import org.crocusgrade.core.id.RequestId;

/**
 * The properties of a caller's request that scheduling depends on.
 *
 * @param id its id, which is also the id of its first attempt
 * @param customer the customer on whose behalf it was sent
 * @param deadlineNanos when its answer is due, in monotonic nanoseconds
 * @param urgent whether it starts before requests that are not urgent
 * @param idempotent whether it may run more than once
 * @param key the caller's idempotency key, if it sent one
 * @param needs the processors, memory and accelerators that it needs
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
