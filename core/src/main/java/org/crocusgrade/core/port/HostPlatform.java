package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.crocusgrade.core.id.WorkerId;

/** The platform's pools of hosts. Each Uni fails with a {@link PlatformException}. */
public interface HostPlatform {
    /** Reads the list of hosts; it lags behind the truth by some seconds. */
    Uni<List<HostEntry>> hosts();

    /**
     * Asks the platform to reboot a drained worker into an image.
     *
     * @param operation an id of the caller's; the platform carries out each operation once
     */
    Uni<Void> reboot(WorkerId worker, String image, String operation);
}
