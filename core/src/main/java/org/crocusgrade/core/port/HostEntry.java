package org.crocusgrade.core.port;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One worker in the platform's host list, which lags behind the actual state.
 *
 * @param worker its id
 * @param address the IP address and port where it accepts requests
 * @param rack its rack
 * @param zone its availability zone
 * @param state live, leaving, or down (rebooting or failed)
 * @param cores the number of its processors
 * @param memoryBytes its memory, in bytes
 * @param accelerators the number of its accelerators
 * @param slots the maximum number of requests that it runs concurrently
 * @param connections the maximum number of connections that it accepts concurrently
 * @param image the version of its host image
 */
public record HostEntry(
        WorkerId worker,
        InetSocketAddress address,
        RackId rack,
        AvailabilityZone zone,
        State state,
        int cores,
        long memoryBytes,
        int accelerators,
        int slots,
        int connections,
        String image) {
    /** Checks the fields. */
    public HostEntry {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(address);
        Objects.requireNonNull(rack);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(state);
        Objects.requireNonNull(image);
        if (cores <= 0 || memoryBytes <= 0 || accelerators < 0 || slots <= 0 || connections <= 0) {
            throw new IllegalArgumentException(
                    "worker sizes must be positive, accelerators not negative");
        }
    }

    /** The platform's view of a worker. */
    public enum State {
        /** Accepts requests. */
        LIVE,
        /** Is about to stop and must get no new requests. */
        LEAVING,
        /** Does not run: it failed or is rebooting. */
        DOWN
    }
}
