package org.crocusgrade.daemon.batch;

import java.time.Duration;

/**
 * Determines when the next planning round of a pool runs.
 *
 * <p>Load: in a surge each round has more to look at, and each answer of a worker triggers one. On
 * an owner with little processor time, rounds that follow each other at once leave none for the
 * answers and the callers. So a round is followed by a pause of three times as long as it took; the
 * answers that come meanwhile are covered by the next one. Worked case: a round that takes 12 ms is
 * followed by a pause of 36 ms, so planning uses at most a quarter of the time.
 */
final class PlanTimer {
    /** Delay between an event and the round that it triggers: further events often follow. */
    private static final Duration EVENT_DELAY = Duration.ofMillis(3);

    /** The pause after a round, as a multiple of the time that it took. */
    private static final int PAUSE_FACTOR = 3;

    /** Upper bound of the pause, so that a single slow round does not delay the next one. */
    private static final Duration MAX_PAUSE = Duration.ofMillis(100);

    private long nextRoundNanos;
    private boolean hasRun;

    /** Records a round. */
    void onRound(long startNanos, long endNanos) {
        long pauseNanos = Math.min(PAUSE_FACTOR * (endNanos - startNanos), MAX_PAUSE.toNanos());
        nextRoundNanos = endNanos + pauseNanos;
        hasRun = true;
    }

    /** Returns how long after an event the next round runs. */
    Duration delay(long now) {
        long pauseNanos = hasRun ? nextRoundNanos - now : 0;
        return Duration.ofNanos(Math.max(EVENT_DELAY.toNanos(), pauseNanos));
    }
}
