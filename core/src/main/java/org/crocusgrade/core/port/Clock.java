package org.crocusgrade.core.port;

import java.time.Instant;

/** A source of time that tests can replace. */
public interface Clock {
    /** Returns the wall-clock time; it may jump, so it must not be used to measure leases. */
    Instant now();

    /** Returns monotonic nanoseconds from an arbitrary origin of this process. */
    long nanoTime();

    /** Returns the clock of the operating system. */
    static Clock system() {
        return new SystemClock();
    }
}
