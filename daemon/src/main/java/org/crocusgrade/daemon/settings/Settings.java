package org.crocusgrade.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.logging.Level;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.peer.PeerKey;

/**
 * The contents of a daemon's settings file.
 *
 * @param daemon its id, the same over restarts
 * @param region its region
 * @param zone its availability zone
 * @param listen the addresses on which it listens
 * @param platform the addresses of the platform's services
 * @param peerKey the key that all daemons of the deployment share
 * @param seeds daemons from which this one fetches the configuration when the platform is down
 * @param logLevel the lowest level that is logged
 * @param threads the number of threads that serve requests
 * @param bounds the sizes and times that it enforces
 */
public record Settings(
        DaemonId daemon,
        Region region,
        AvailabilityZone zone,
        Listen listen,
        Platform platform,
        PeerKey peerKey,
        Map<DaemonId, InetSocketAddress> seeds,
        Level logLevel,
        int threads,
        Bounds bounds) {
    /** Checks that no field is missing. */
    public Settings {
        Objects.requireNonNull(daemon);
        Objects.requireNonNull(region);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(listen);
        Objects.requireNonNull(platform);
        Objects.requireNonNull(peerKey);
        seeds = Map.copyOf(seeds);
        Objects.requireNonNull(logLevel);
        Objects.requireNonNull(bounds);
    }

    /**
     * The addresses on which the daemon listens; each an IP address and port.
     *
     * @param callers for callers' requests
     * @param operators for operators, on a port of its own
     * @param peers for the other daemons
     */
    public record Listen(
            InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress peers) {
        /** Checks that no field is missing. */
        public Listen {
            Objects.requireNonNull(callers);
            Objects.requireNonNull(operators);
            Objects.requireNonNull(peers);
        }
    }

    /**
     * The addresses of the platform's services; each an IP address and port.
     *
     * @param service its key-value service
     * @param hosts its host list
     */
    public record Platform(InetSocketAddress service, InetSocketAddress hosts) {
        /** Checks that no field is missing. */
        public Platform {
            Objects.requireNonNull(service);
            Objects.requireNonNull(hosts);
        }
    }

    /**
     * The sizes and times that the daemon enforces.
     *
     * @param maxBodyBytes the largest body of a request or answer, in bytes
     * @param maxHeaderBytes the largest header block of a request, in bytes
     * @param stopTimeout how long a planned stop waits at most for running requests
     * @param leaveDelay how long a stopping daemon still accepts requests while it reports itself
     *     unready, so that the load balancer can take it out
     */
    public record Bounds(
            long maxBodyBytes, int maxHeaderBytes, Duration stopTimeout, Duration leaveDelay) {
        /** The bounds for keys that the settings file does not set. */
        public static final Bounds DEFAULT =
                new Bounds(1L << 20, 16 << 10, Duration.ofSeconds(30), Duration.ofSeconds(2));

        /** Checks that no field is missing. */
        public Bounds {
            Objects.requireNonNull(stopTimeout);
            Objects.requireNonNull(leaveDelay);
        }
    }
}
