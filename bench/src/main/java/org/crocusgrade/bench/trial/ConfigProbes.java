package org.crocusgrade.bench.trial;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.crocusgrade.bench.guarantee.Observations;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.WorkerServer;

/**
 * Sends calls to the daemons to see which configuration they apply. A probe is a request without a
 * key to a service for which the new configuration requires one: a daemon refuses it for the
 * missing key once it applies that configuration, and runs it before. Any other refusal and a
 * failed call leave open which configuration is applied and are not recorded.
 */
final class ConfigProbes {
    private static final Duration PERIOD = Duration.ofMillis(50);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final Clock clock;
    private final ServiceId service;
    private final Supplier<List<InetSocketAddress>> daemons;
    private final WebClient client;
    private final Queue<Observations.Probe> probes = new ConcurrentLinkedQueue<>();
    private final AtomicLong sent = new AtomicLong();
    private long timer;

    ConfigProbes(
            Vertx vertx,
            Clock clock,
            ServiceId service,
            Supplier<List<InetSocketAddress>> daemons) {
        this.vertx = vertx;
        this.clock = clock;
        this.service = service;
        this.daemons = daemons;
        this.client = WebClient.create(vertx);
    }

    /** Starts probing. */
    void start() {
        timer = vertx.setPeriodic(PERIOD.toMillis(), id -> daemons.get().forEach(this::probe));
    }

    /** Stops probing. */
    void stop() {
        vertx.cancelTimer(timer);
    }

    /** Closes the connections. */
    void close() {
        client.close();
    }

    /** Returns the probes in the order of their answers. */
    List<Observations.Probe> probes() {
        List<Observations.Probe> sorted = new ArrayList<>(probes);
        sorted.sort(Comparator.comparing(Observations.Probe::ended));
        return sorted;
    }

    private void probe(InetSocketAddress daemon) {
        Instant start = clock.now();
        client.post(
                        daemon.getPort(),
                        daemon.getAddress().getHostAddress(),
                        "/s/" + service + "/call")
                .putHeader(WorkerServer.NONCE, "probe-" + sent.getAndIncrement())
                .putHeader(WorkerServer.WORK, "1ms")
                .timeout(TIMEOUT.toMillis())
                .send()
                .subscribe()
                .with(response -> onResponse(daemon, start, response), e -> {});
    }

    private void onResponse(
            InetSocketAddress daemon, Instant start, HttpResponse<Buffer> response) {
        String reason = response.getHeader("Crocusgrade-Reason");
        boolean followed = Reason.KEY_REQUIRED.code.equals(reason);
        if (followed || Reason.OK.code.equals(reason)) {
            probes.add(new Observations.Probe(daemon, start, clock.now(), followed));
        }
    }
}
