package org.crocusgrade.standin;

import java.time.Duration;
import java.time.Instant;
import org.crocusgrade.core.port.Clock;

/** A clock that only moves by {@link #advance}. */
public final class ManualClock implements Clock {
    private long nanos;

    public synchronized void advance(Duration by) {
        nanos += by.toNanos();
    }

    @Override
    public synchronized Instant now() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    @Override
    public synchronized long nanoTime() {
        return nanos;
    }
}
