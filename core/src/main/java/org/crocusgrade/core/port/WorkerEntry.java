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
 * What a worker registers of itself.
 *
 * @param worker its name
 * @param service the pool that it is in
 * @param address where it takes orders
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param remaining how long it stays at least while it drains
 * @param born when this incarnation began, in Unix milliseconds; 0 if it does not say
 * @param labels what it is, and its rack
 * @param rack its rack's label, if it says so
 * @param capacity what it has
 * @param host the host that it runs on, if it says so
 */
public record WorkerEntry(
        WorkerId worker,
        ServiceId service,
        InetSocketAddress address,
        String zone,
        boolean draining,
        Duration remaining,
        long born,
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
