package org.crocusgrade.core.maintenance;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostControl.State;

/**
 * A host as the holder of the fleet's duty sees it.
 *
 * @param host the host
 * @param pool the pool that it is in
 * @param worker its current incarnation, if it has one
 * @param state what the platform says
 * @param rack its rack, if it is known
 * @param milliCores its processors, in thousandths of a core
 * @param standby whether its pool is switched off, so that nothing runs there
 * @param known whether the pool's owner has told of its worker lately
 * @param evacuating whether the owner says that it places nothing there any more
 * @param running runs on the worker
 * @param longRunning how many of them are of long-running tasks
 */
public record HostView(
        HostId host,
        ServiceId pool,
        Optional<WorkerId> worker,
        State state,
        Optional<String> rack,
        long milliCores,
        boolean standby,
        boolean known,
        boolean evacuating,
        int running,
        int longRunning) {
    /** Checks the fields. */
    public HostView {
        Objects.requireNonNull(host);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(worker);
        Objects.requireNonNull(state);
        Objects.requireNonNull(rack);
    }

    /** Returns whether an order for the host ends no work. */
    public boolean isEmpty() {
        if (state != State.UP) {
            return false;
        }
        return standby || known && evacuating && running == 0;
    }
}
