package org.crocusgrade.daemon.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.maintenance.HostView;

/**
 * An action of the holder of the fleet duty, to be carried out once the store has confirmed the
 * duty. That takes time, so what the action requires of its host is checked again then.
 *
 * @param host the host that it orders about, if any
 * @param interrupts whether it may end tasks on the host that are not long-running
 * @param step carries the action out
 */
record FleetAction(Optional<HostId> host, boolean interrupts, Runnable step) {
    /** Rejects null fields. */
    FleetAction {
        Objects.requireNonNull(host);
        Objects.requireNonNull(step);
    }

    /** Returns an action that orders no host about. */
    static FleetAction withoutHost(Runnable step) {
        return new FleetAction(Optional.empty(), false, step);
    }

    /** Returns an order for a host that must be empty. */
    static FleetAction onEmptyHost(HostId host, Runnable step) {
        return new FleetAction(Optional.of(host), false, step);
    }

    /** Returns whether the host is in the state that the action requires. */
    boolean isAllowed(Map<HostId, HostView> hosts) {
        if (host.isEmpty()) {
            return true;
        }
        HostView view = hosts.get(host.get());
        if (view == null) {
            return false;
        }
        return view.isEmpty() || interrupts && view.recentlyReported() && view.longRunning() == 0;
    }
}
