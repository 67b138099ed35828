package org.crocusgrade.core.maintenance;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * How far one host is in a wave.
 *
 * @param phase what it is at
 * @param since when the phase began
 * @param started when it was taken
 * @param operation the id with which the platform is asked for the reboot, the same in each asking
 * @param failure why it failed, if it did
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

    /** Returns the next phase's progress. */
    public HostProgress to(Phase next, Instant now) {
        return new HostProgress(next, now, started, operation, Optional.empty());
    }

    /** Returns the progress of a host that failed. */
    public HostProgress failed(MaintenanceReason reason, Instant now) {
        return new HostProgress(Phase.FAILED, now, started, operation, Optional.of(reason));
    }

    /** The phases of a host in a wave. */
    public enum Phase {
        /** Gets no new work; what runs ends. */
        DRAINING(true),
        /** The platform was asked to reboot it, and it was not yet seen down. */
        REBOOTING(true),
        /** Was seen down, and is awaited back. */
        DOWN(true),
        /** Serves again, and is watched. */
        WATCHED(true),
        /** Is done in this wave. */
        DONE(false),
        /** Went back because its work did not end; is tried again later in this wave. */
        PUT_BACK(false),
        /** Failed; stays out until an operator sees to it. */
        FAILED(false);

        /** Whether the wave works on the host. */
        public final boolean active;

        Phase(boolean active) {
            this.active = active;
        }
    }
}
