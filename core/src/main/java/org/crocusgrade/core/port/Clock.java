package org.crocusgrade.core.port;

import java.time.Instant;

/** The time, passed in so that tests can turn it. */
public interface Clock {
    /** Returns the wall clock's time; it may jump, so no lease is judged by it. */
    Instant now();

    /** Returns monotonic nanoseconds from an arbitrary origin of this process. */
    long nanoTime();

    /** Returns the machine's clock. */
    static Clock system() {
        return new SystemClock();
    }
}
