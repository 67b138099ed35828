package org.crocusgrade.bench.trial;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.daemon.Daemon;
import org.crocusgrade.daemon.DaemonException;
import org.crocusgrade.daemon.settings.Settings;
import org.crocusgrade.peer.PeerKey;

/** Daemons in this process, each with its own sockets, spread over the availability zones. */
public final class EmbeddedDaemons {
    private static final byte[] KEY =
            "a key that all daemons of a trial share".getBytes(StandardCharsets.UTF_8);
    private static final int THREADS = 2;
    private static final long MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration LEAVE_DELAY = Duration.ofMillis(800);

    private final List<Daemon> daemons = new ArrayList<>();

    /** Starts daemons; if one cannot start, all started before it are closed. */
    public EmbeddedDaemons(
            EmbeddedPlatform platform, Region region, List<AvailabilityZone> zones, int count)
            throws TrialException {
        try {
            for (int i = 0; i < count; i++) {
                Daemon daemon = new Daemon(settings(platform, region, zones, i));
                daemons.add(daemon);
                daemon.start();
            }
        } catch (DaemonException e) {
            close();
            throw new TrialException("an embedded daemon could not be started", e);
        }
    }

    public List<Daemon> all() {
        return List.copyOf(daemons);
    }

    /** Stops a daemon gracefully. */
    public void stop(Daemon daemon) {
        daemons.remove(daemon);
        daemon.stop();
    }

    /** Closes the daemons that are not stopped yet. */
    public void close() {
        daemons.forEach(Daemon::close);
        daemons.clear();
    }

    private static Settings settings(
            EmbeddedPlatform platform, Region region, List<AvailabilityZone> zones, int index) {
        InetSocketAddress ephemeral = new InetSocketAddress(EmbeddedPlatform.LOOPBACK, 0);
        return new Settings(
                new DaemonId("entry-" + (index + 1)),
                region,
                zones.get(index % zones.size()),
                new Settings.Listen(ephemeral, ephemeral, ephemeral),
                new Settings.Platform(platform.serviceAddress(), platform.hostsAddress()),
                new PeerKey(KEY),
                Map.of(),
                Level.WARNING,
                THREADS,
                new Settings.Bounds(MAX_BODY_BYTES, MAX_HEADER_BYTES, STOP_TIMEOUT, LEAVE_DELAY));
    }
}
