package org.crocusgrade.core.maintenance;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostControl.State;

/**
 * State of a host as observed by the daemon that holds the fleet duty.
 *
 * @param host the host's id
 * @param pool the pool of the host
 * @param worker the host's current worker, if there is one
 * @param state the state that the platform reports; {@code MOVING} also for a host that may be
 *     about to move
 * @param rack the host's rack, if it is known
 * @param milliCores processor capacity, in thousandths of a core
 * @param standby whether the pool is switched off, so that nothing runs on the host
 * @param recentlyReported whether the latest report of the pool's owner is recent and includes the
 *     worker; if not, the next three components carry no information
 * @param evacuating whether the pool's owner reports that it starts nothing new on the worker
 * @param running number of runs on the worker
 * @param longRunning number of those runs that belong to long-running tasks
 * @param orderable whether it may be moved or maintained now
 */
public record HostView(
        HostId host,
        ServiceId pool,
        Optional<WorkerId> worker,
        State state,
        Optional<String> rack,
        long milliCores,
        boolean standby,
        boolean recentlyReported,
        boolean evacuating,
        int running,
        int longRunning,
        boolean orderable) {
    /** Checks the fields. */
    public HostView {
        Objects.requireNonNull(host);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(worker);
        Objects.requireNonNull(state);
        Objects.requireNonNull(rack);
    }

    /**
     * Returns whether the host is up, may be ordered about, and nothing can be running on it, so
     * that removing it from its pool ends no work: its pool is on standby, or the pool's owner
     * reports that it evacuates the worker and that no run remains there.
     */
    public boolean isEmpty() {
        if (state != State.UP || !orderable) {
            return false;
        }
        return standby || recentlyReported && evacuating && running == 0;
    }
}
