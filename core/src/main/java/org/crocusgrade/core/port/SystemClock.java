package org.crocusgrade.core.port;

import java.time.Instant;

/** The machine's clock. */
final class SystemClock implements Clock {
    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
