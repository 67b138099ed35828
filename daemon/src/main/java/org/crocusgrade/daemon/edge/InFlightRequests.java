package org.crocusgrade.daemon.edge;

import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the callers' requests from their first byte to the end of their answers, so that a planned
 * stop cuts none. While stopping, callers are told not to use their connections again.
 */
public final class InFlightRequests {
    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean stopping;

    /** Counts a request until its answer is written or its caller has left. */
    void track(RoutingContext context) {
        count.incrementAndGet();
        context.addEndHandler(ended -> count.decrementAndGet());
        if (stopping) {
            context.response().putHeader("Connection", "close");
        }
        context.next();
    }

    /** Tells callers from now on not to use their connections again. */
    public void stop() {
        stopping = true;
    }

    /** Returns whether any request is in flight. */
    public boolean isBusy() {
        return count.get() > 0;
    }
}
