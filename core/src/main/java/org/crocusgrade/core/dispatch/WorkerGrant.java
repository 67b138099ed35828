package org.crocusgrade.core.dispatch;

import java.util.Objects;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.WorkerId;

/**
 * The slots of one worker that the daemon may use; replaces the worker's previous grant.
 *
 * @param worker the worker
 * @param zone its availability zone
 * @param size the processors, memory and accelerators that one request can use on it
 * @param slots how many requests the daemon may run on it at once; 0 if all are recalled
 * @param untilNanos the end of the lease: no request starts at or after this monotonic time
 */
public record WorkerGrant(
        WorkerId worker, AvailabilityZone zone, Needs size, int slots, long untilNanos) {
    /** Checks the fields. */
    public WorkerGrant {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(size);
        if (slots < 0) {
            throw new IllegalArgumentException("granted slots must not be negative");
        }
    }

    /** Returns whether a worker of this size can run work with these needs. */
    static boolean fits(Needs needs, Needs size) {
        return needs.cores() <= size.cores()
                && needs.memoryBytes() <= size.memoryBytes()
                && needs.accelerators() <= size.accelerators();
    }
}
