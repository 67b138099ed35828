package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * The load that the callers of one service generate.
 *
 * @param service the service
 * @param meanPerSecond calls per second on average over the turns of the {@link PeakSchedule},
 *     whose factor is applied to this rate
 * @param meanWork mean run time of a request, apart from the few that are drawn as long ones
 * @param timeout how long a caller waits, unless it abandons the call early
 * @param idempotentShare share of the calls, 0 to 1, that may run twice; the others carry an
 *     idempotency key
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
            throw new IllegalArgumentException(
                    "mean rate must be above 0 and idempotent share from 0 to 1");
        }
    }
}
