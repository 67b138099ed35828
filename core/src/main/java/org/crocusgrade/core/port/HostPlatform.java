package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.crocusgrade.core.id.WorkerId;

/** The platform's host list and reboots. Each Uni fails with a {@link PlatformException}. */
public interface HostPlatform {
    /** Reads the list of hosts; it lags behind the actual state by some seconds. */
    Uni<List<HostEntry>> hosts();

    /**
     * Requests that the platform reboot a drained worker into an image.
     *
     * @param operation an id chosen by the caller; the platform executes each operation once
     */
    Uni<Void> reboot(WorkerId worker, String image, String operation);
}
