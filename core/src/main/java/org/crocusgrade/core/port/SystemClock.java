package org.crocusgrade.core.port;

import java.time.Instant;

/** The clock of the operating system. */
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
