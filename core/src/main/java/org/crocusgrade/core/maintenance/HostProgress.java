package org.crocusgrade.core.maintenance;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * Progress of one host within a wave.
 *
 * @param phase the current phase
 * @param since when the phase began
 * @param started when the wave started on the host
 * @param operation the operation id of the reboot, the same in each request to the platform, so
 *     that a repeated request reboots the host only once
 * @param failure why the host failed, if it did
 */
public record HostProgress(
        Phase phase,
        Instant since,
        Instant started,
        String operation,
        Optional<MaintenanceReason> failure) {
    /** Checks the fields. */
    public HostProgress {
        Objects.requireNonNull(phase);
        Objects.requireNonNull(since);
        Objects.requireNonNull(started);
        Objects.requireNonNull(operation);
        Objects.requireNonNull(failure);
    }

    /** Returns the progress after a change to another phase at the given time. */
    public HostProgress to(Phase next, Instant now) {
        return new HostProgress(next, now, started, operation, Optional.empty());
    }

    /** Returns the progress after a failure at the given time. */
    public HostProgress failed(MaintenanceReason reason, Instant now) {
        return new HostProgress(Phase.FAILED, now, started, operation, Optional.of(reason));
    }

    /** The phases of a host in a wave. */
    public enum Phase {
        /** Gets no new work; running work is left to finish. */
        DRAINING(true),
        /** The reboot has been requested; the host has not been observed down since. */
        REBOOTING(true),
        /** Was observed down and has not come back yet. */
        DOWN(true),
        /** Back in service and observed for failures. */
        WATCHED(true),
        /** Maintenance is complete. */
        DONE(false),
        /**
         * Returned to service without a reboot, since its work did not end; retried in this wave.
         */
        PUT_BACK(false),
        /** Failed; the wave takes no further action on the host, so an operator must. */
        FAILED(false);

        /** Whether the maintenance of the host is in progress. */
        public final boolean active;

        Phase(boolean active) {
            this.active = active;
        }
    }
}
