package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;

/** The platform's hosts and their pools. Each Uni fails with a {@link PlatformException}. */
public interface HostControl {
    /** Reads all hosts. */
    Uni<List<PooledHost>> hosts();

    /** Moves a host to a pool; all that runs on it ends at once. */
    Uni<Outcome> move(HostId host, ServiceId pool, Right right);

    /** Begins the maintenance of a host for a wave; all that runs on it ends at once. */
    Uni<Outcome> maintain(HostId host, int wave, Right right);

    /**
     * By what right a host is ordered about.
     *
     * @param holder the name of the daemon that holds the duty
     * @param token its fencing token
     */
    record Right(String holder, long token) {}

    /** What became of an order. */
    enum Outcome {
        /** It is carried out, or was before. */
        DONE,
        /** The host is not up, or is leaving. */
        BUSY,
        /** A higher fencing token was seen. */
        FENCED,
        /** The host is not of that wave. */
        OTHER_WAVE,
        /** There is no such host, or the pool is for other hosts. */
        INVALID,
        /** Too many orders at a time. */
        THROTTLED
    }

    /**
     * One host.
     *
     * @param host its name
     * @param pool the pool that it is in
     * @param state what it does
     * @param zone its availability zone
     * @param labels what it is, and its rack
     * @param capacity what it has
     * @param worker its current incarnation, if it has one
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

    /** What a host does. */
    enum State {
        /** Its worker runs, or could. */
        UP,
        /** It goes to another pool. */
        MOVING,
        /** It is in maintenance. */
        MAINTENANCE,
        /** It has failed. */
        DOWN
    }
}
