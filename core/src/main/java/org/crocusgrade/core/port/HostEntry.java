package org.crocusgrade.core.port;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One worker as the platform's lagging host list has it.
 *
 * @param worker its id
 * @param address where it takes requests, as an IP number and port
 * @param rack its rack
 * @param zone its availability zone
 * @param state live, leaving, or down (rebooting or failed)
 * @param cores its processors
 * @param memoryBytes its memory, in bytes
 * @param accelerators its accelerators
 * @param slots the requests it runs at once
 * @param connections the connections it accepts at once
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
            throw new IllegalArgumentException("sizes of a worker must be above 0");
        }
    }

    /** The platform's view of a worker. */
    public enum State {
        /** Takes work. */
        LIVE,
        /** Is about to stop; must get no new work. */
        LEAVING,
        /** Does not run: failed, or rebooting. */
        DOWN
    }
}
