package org.crocusgrade.daemon.batch;

import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.HostControl.Right;

/** What those who order hosts about know of the fleet's duty. */
interface FleetRight {
    /** Returns the tenure, while the duty is held. */
    Optional<Tenure> tenure();

    /** Returns by what right a host is ordered about, and takes note that it is. */
    Right orderFor(HostId host);

    /** Makes the next look at the hosts come at once. */
    void lookAgain();

    /** Returns whether a transaction proves that the duty is still held; else gives it up. */
    boolean isConfirmedBy(Tenure held, CommitResult result);
}
