package org.crocusgrade.standin.hosts;

import java.time.Instant;
import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * A worker's change of state as it truly happened.
 *
 * @param worker the worker
 * @param state its state from then on
 * @param planned whether a reboot asked for by the system caused it
 * @param at when
 */
public record HostEvent(WorkerId worker, HostEntry.State state, boolean planned, Instant at) {
    /** Checks the fields. */
    public HostEvent {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(state);
        Objects.requireNonNull(at);
    }
}
