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

/** Stands in for the platform's balancer: callers are sent to the daemons that say ready. */
public final class Balancer {
    private static final Duration PERIOD = Duration.ofMillis(200);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final WebClient client;
    private final Map<InetSocketAddress, InetSocketAddress> operatorsOf = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Boolean> ready = new ConcurrentHashMap<>();
    private long timer;

    /** Makes a balancer without daemons. */
    public Balancer(Vertx vertx) {
        this.vertx = vertx;
        this.client = WebClient.create(vertx);
    }

    /** Adds a daemon by its address for callers and its address for operators. */
    public synchronized void add(InetSocketAddress callers, InetSocketAddress operators) {
        operatorsOf.put(callers, operators);
    }

    /** Starts to ask. */
    public void start() {
        ask();
        timer = vertx.setPeriodic(PERIOD.toMillis(), id -> ask());
    }

    /** Stops asking. */
    public void stop() {
        vertx.cancelTimer(timer);
        client.close();
    }

    /** Returns the daemons that said ready when last asked. */
    public synchronized List<InetSocketAddress> ready() {
        List<InetSocketAddress> found = new ArrayList<>();
        for (InetSocketAddress callers : operatorsOf.keySet()) {
            if (ready.getOrDefault(callers, false)) {
                found.add(callers);
            }
        }
        return found;
    }

    private synchronized void ask() {
        operatorsOf.forEach(
                (callers, operators) ->
                        client.get(
                                        operators.getPort(),
                                        operators.getAddress().getHostAddress(),
                                        "/readyz")
                                .timeout(TIMEOUT.toMillis())
                                .send()
                                .subscribe()
                                .with(
                                        r -> ready.put(callers, r.statusCode() == 200),
                                        e -> ready.put(callers, false)));
    }
}
