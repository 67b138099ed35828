package org.crocusgrade.core.dispatch;

import java.util.Objects;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.WorkerId;

/**
 * The slots of one worker that the daemon may use now; replaces the grant before it.
 *
 * @param worker the worker
 * @param zone its availability zone
 * @param size what it has for one request
 * @param slots how many requests the daemon may run on it at once; 0 when all are recalled
 * @param untilNanos no request is started on it at or after this monotonic time
 */
public record WorkerGrant(
        WorkerId worker, AvailabilityZone zone, Needs size, int slots, long untilNanos) {
    /** Checks the fields. */
    public WorkerGrant {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(size);
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be below 0");
        }
    }

    /** Returns whether a worker of this size can run work with these needs. */
    static boolean fits(Needs needs, Needs size) {
        return needs.cores() <= size.cores()
                && needs.memoryBytes() <= size.memoryBytes()
                && needs.accelerators() <= size.accelerators();
    }
}
