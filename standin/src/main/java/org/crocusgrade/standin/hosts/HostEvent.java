package org.crocusgrade.standin.hosts;

import java.time.Instant;
import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * A change of a worker's actual state, recorded without the lag of the host list.
 *
 * @param worker the worker
 * @param state the worker's state from then on
 * @param planned whether the change is part of a reboot that was requested through the platform
 * @param at when the state changed
 */
public record HostEvent(WorkerId worker, HostEntry.State state, boolean planned, Instant at) {
    /** Checks the fields. */
    public HostEvent {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(state);
        Objects.requireNonNull(at);
    }
}
