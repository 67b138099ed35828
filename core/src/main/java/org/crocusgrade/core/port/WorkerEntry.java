package org.crocusgrade.core.port;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;

/**
 * A worker's registration.
 *
 * @param worker its id
 * @param service the pool that it is in
 * @param address where it accepts orders
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param remaining the minimum time until it leaves, while it is draining
 * @param startedEpochMillis when this incarnation started, in Unix milliseconds; 0 if not
 *     registered
 * @param labels its labels, which include its rack
 * @param rack the label of its rack, if registered
 * @param capacity its resources
 * @param host the host that it runs on, if registered
 */
public record WorkerEntry(
        WorkerId worker,
        ServiceId service,
        InetSocketAddress address,
        String zone,
        boolean draining,
        Duration remaining,
        long startedEpochMillis,
        List<String> labels,
        Optional<String> rack,
        Resources capacity,
        Optional<HostId> host) {
    /** Copies the list and checks the fields. */
    public WorkerEntry {
        labels = List.copyOf(labels);
        Objects.requireNonNull(worker);
        Objects.requireNonNull(service);
        Objects.requireNonNull(address);
        Objects.requireNonNull(capacity);
    }
}
