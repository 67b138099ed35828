package org.crocusgrade.daemon.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;

/**
 * An action of the holder of the fleet duty, to be carried out once the store has confirmed the
 * duty. That takes time, so what the action requires of its host is checked again then.
 *
 * @param host the host that it orders about, if any
 * @param to the pool to which the host is moved; empty if it is maintained
 * @param interrupts whether it may end tasks on the host that are not long-running
 * @param step carries the action out
 */
record FleetAction(
        Optional<HostId> host, Optional<ServiceId> to, boolean interrupts, Runnable step) {
    /** Rejects null fields. */
    FleetAction {
        Objects.requireNonNull(host);
        Objects.requireNonNull(to);
        Objects.requireNonNull(step);
    }

    /** Returns an action that orders no host about. */
    static FleetAction withoutHost(Runnable step) {
        return new FleetAction(Optional.empty(), Optional.empty(), false, step);
    }

    /** Returns an order to move a host that must be empty. */
    static FleetAction move(HostId host, ServiceId to, Runnable step) {
        return new FleetAction(Optional.of(host), Optional.of(to), false, step);
    }

    /**
     * Returns an order to maintain a host.
     *
     * @param interrupts whether it may end tasks on the host that are not long-running
     */
    static FleetAction maintain(HostId host, boolean interrupts, Runnable step) {
        return new FleetAction(Optional.of(host), Optional.empty(), interrupts, step);
    }

    /** Returns whether the host is in the state that the action requires. */
    boolean isAllowed(Map<HostId, HostView> hosts) {
        if (host.isEmpty()) {
            return true;
        }
        HostView view = hosts.get(host.get());
        if (view == null || !view.orderable()) {
            return false;
        }
        return view.isEmpty() || interrupts && view.recentlyReported() && view.longRunning() == 0;
    }
}
