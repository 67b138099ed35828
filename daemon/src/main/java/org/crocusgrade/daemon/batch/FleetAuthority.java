package org.crocusgrade.daemon.batch;

import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.HostControl.Credentials;

/** The view of the fleet duty for components that send orders to hosts. */
interface FleetAuthority {
    /** Returns the ownership of the duty; empty while it is not held. */
    Optional<DutyOwnership> ownership();

    /**
     * Returns the credentials for an order to a host, and records that the host is ordered.
     *
     * @param to the pool to which the host is moved; empty if it is maintained
     */
    Credentials authorizeOrder(HostId host, Optional<ServiceId> to);

    /** Makes the next tick read the host list without waiting for the usual interval. */
    void refreshHostsSoon();

    /**
     * Returns whether a transaction proves that the duty is still held; if not, the duty is
     * relinquished.
     */
    boolean isConfirmedBy(DutyOwnership held, CommitResult result);
}
