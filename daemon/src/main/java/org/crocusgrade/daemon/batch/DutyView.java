package org.crocusgrade.daemon.batch;

import java.time.Duration;

/** The view of the duty for a pool's owner. */
interface DutyView {
    /** Returns whether the store has confirmed the duty within the given time. */
    boolean isConfirmedWithin(Duration age);

    /**
     * Returns whether no other daemon can have held the duty before a time on the monotonic clock,
     * in nanoseconds.
     */
    boolean wasHeldAt(long nanos);
}
