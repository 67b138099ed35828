package org.crocusgrade.bench.trial;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Stands in for the platform's load balancer: lists the daemons whose readiness check passes. */
public final class Balancer {
    private static final Duration POLL_PERIOD = Duration.ofMillis(200);
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final WebClient client;
    private final Map<InetSocketAddress, InetSocketAddress> operatorAddresses =
            new LinkedHashMap<>();
    private final Map<InetSocketAddress, Boolean> ready = new ConcurrentHashMap<>();
    private long timer;

    /** Creates a balancer without daemons. */
    public Balancer(Vertx vertx) {
        this.vertx = vertx;
        this.client = WebClient.create(vertx);
    }

    /** Adds a daemon by its address for callers and its address for operators. */
    public synchronized void add(InetSocketAddress callers, InetSocketAddress operators) {
        operatorAddresses.put(callers, operators);
    }

    /** Starts to poll the daemons' readiness. */
    public void start() {
        pollReadiness();
        timer = vertx.setPeriodic(POLL_PERIOD.toMillis(), id -> pollReadiness());
    }

    /** Stops polling. */
    public void stop() {
        vertx.cancelTimer(timer);
        client.close();
    }

    /** Returns the addresses for callers of the daemons that were ready at the last poll. */
    public synchronized List<InetSocketAddress> ready() {
        List<InetSocketAddress> readyDaemons = new ArrayList<>();
        for (InetSocketAddress callers : operatorAddresses.keySet()) {
            if (ready.getOrDefault(callers, false)) {
                readyDaemons.add(callers);
            }
        }
        return readyDaemons;
    }

    private synchronized void pollReadiness() {
        operatorAddresses.forEach(
                (callers, operators) ->
                        client.get(
                                        operators.getPort(),
                                        operators.getAddress().getHostAddress(),
                                        "/readyz")
                                .timeout(POLL_TIMEOUT.toMillis())
                                .send()
                                .subscribe()
                                .with(
                                        r -> ready.put(callers, r.statusCode() == 200),
                                        e -> ready.put(callers, false)));
    }
}
