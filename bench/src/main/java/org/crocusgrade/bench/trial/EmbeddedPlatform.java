package org.crocusgrade.bench.trial;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.HostListServer;
import org.crocusgrade.standin.PlatformServer;
import org.crocusgrade.standin.StandinFleet;

/** The stand-ins of a deployment in this process: key-value service, host list and workers. */
public final class EmbeddedPlatform {
    /** The address that all stand-ins listen on. */
    public static final String LOOPBACK = "127.0.0.1";

    /** The age of the host list: a change of state appears in it this much later. */
    public static final Duration LAG = Duration.ofSeconds(2);

    private static final Duration REBOOT_TIME = Duration.ofSeconds(2);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private final PlatformServer service;
    private final StandinFleet fleet;
    private final HostListServer hosts;
    private final InetSocketAddress serviceAddress;
    private final InetSocketAddress hostsAddress;

    /** Starts the stand-ins. */
    public EmbeddedPlatform(Vertx vertx, Clock clock, StandinFleet.Spec spec, long seed) {
        service = new PlatformServer(clock, seed);
        serviceAddress = service.start(vertx, LOOPBACK, 0).await().atMost(START_TIMEOUT);
        fleet = new StandinFleet(spec, clock);
        List<HostEntry> entries = fleet.start(vertx, LOOPBACK).await().atMost(START_TIMEOUT);
        hosts = new HostListServer(clock, entries, LAG, REBOOT_TIME);
        hostsAddress = hosts.start(vertx, LOOPBACK, 0).await().atMost(START_TIMEOUT);
    }

    /** Returns the key-value service. */
    public PlatformServer service() {
        return service;
    }

    /** Returns the workers. */
    public StandinFleet fleet() {
        return fleet;
    }

    /** Returns the host list. */
    public HostListServer hosts() {
        return hosts;
    }

    /** Returns the address of the key-value service. */
    public InetSocketAddress serviceAddress() {
        return serviceAddress;
    }

    /** Returns the address of the host list. */
    public InetSocketAddress hostsAddress() {
        return hostsAddress;
    }

    /** Stops the stand-ins. */
    public void stop() {
        hosts.stop().await().atMost(START_TIMEOUT);
        fleet.stop().await().atMost(START_TIMEOUT);
        service.stop().await().atMost(START_TIMEOUT);
    }
}
