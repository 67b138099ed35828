package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;

/**
 * Moves the platform's hosts between pools and starts their maintenance. Each Uni fails with a
 * {@link PlatformException}.
 */
public interface HostControl {
    /** Reads all hosts. */
    Uni<List<PooledHost>> hosts();

    /** Moves a host to a pool; everything that runs on it is stopped immediately. */
    Uni<Outcome> move(HostId host, ServiceId pool, Credentials credentials);

    /**
     * Starts a host's maintenance for a wave; everything that runs on it is stopped immediately.
     */
    Uni<Outcome> maintain(HostId host, int wave, Credentials credentials);

    /**
     * The credentials of the daemon that sends an order.
     *
     * @param holder the name of the daemon, which holds the duty to control hosts
     * @param token the fencing token of that duty
     */
    record Credentials(String holder, long token) {}

    /** The result of an order. */
    enum Outcome {
        /** The order is carried out, or an earlier call has carried it out. */
        DONE,
        /** The host is not up, or it is leaving. */
        BUSY,
        /** The platform has received a higher fencing token. */
        FENCED,
        /** The host does not belong to the wave. */
        OTHER_WAVE,
        /** There is no such host, or the pool does not accept it. */
        INVALID,
        /** The platform rejected the order because too many were sent. */
        THROTTLED
    }

    /**
     * A host and its pool.
     *
     * @param host its id
     * @param pool the pool that it is in
     * @param state its state
     * @param zone its availability zone
     * @param labels its labels, which include its rack
     * @param capacity its resources
     * @param worker its current worker incarnation, if it has one
     */
    record PooledHost(
            HostId host,
            ServiceId pool,
            State state,
            String zone,
            List<String> labels,
            Resources capacity,
            Optional<WorkerId> worker) {
        /** Copies the list and checks the fields. */
        public PooledHost {
            labels = List.copyOf(labels);
            Objects.requireNonNull(host);
            Objects.requireNonNull(pool);
            Objects.requireNonNull(state);
            Objects.requireNonNull(worker);
        }
    }

    /** The state of a host. */
    enum State {
        /** Its worker runs or can run. */
        UP,
        /** It is being moved to another pool. */
        MOVING,
        /** It is in maintenance. */
        MAINTENANCE,
        /** It has failed. */
        DOWN
    }
}
