package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * What the callers of one service ask for.
 *
 * @param service the service
 * @param meanPerSecond calls a second, on average over the turns
 * @param meanWork how long a request runs, on average
 * @param timeout how long a caller waits
 * @param idempotentShare of the calls, how many may run twice; the others carry a key
 */
public record QueueLoad(
        ServiceId service,
        double meanPerSecond,
        Duration meanWork,
        Duration timeout,
        double idempotentShare) {
    /** Checks the fields. */
    public QueueLoad {
        Objects.requireNonNull(service);
        Objects.requireNonNull(meanWork);
        Objects.requireNonNull(timeout);
        if (meanPerSecond <= 0 || idempotentShare < 0 || idempotentShare > 1) {
            throw new IllegalArgumentException("rate or share is out of range");
        }
    }
}
