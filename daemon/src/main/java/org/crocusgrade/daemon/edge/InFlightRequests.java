package org.crocusgrade.daemon.edge;

import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the callers' requests from the time they are routed until their responses end, so that a
 * planned stop can wait for all of them. During the stop, responses carry {@code Connection:
 * close}, so that callers do not reuse their connections.
 */
public final class InFlightRequests {
    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean stopping;

    /** Counts a request until its response is written or its caller has disconnected. */
    void track(RoutingContext context) {
        count.incrementAndGet();
        context.addEndHandler(ended -> count.decrementAndGet());
        if (stopping) {
            context.response().putHeader("Connection", "close");
        }
        context.next();
    }

    /** Makes every later response close its connection. */
    public void stop() {
        stopping = true;
    }

    public boolean isBusy() {
        return count.get() > 0;
    }
}
