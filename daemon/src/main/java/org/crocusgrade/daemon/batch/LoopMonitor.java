package org.crocusgrade.daemon.batch;

import java.time.Duration;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/**
 * Measures how late the event loop executes a step that is due at a fixed interval. A loop that
 * runs late has more work than processor time, and the answers to its calls wait for it.
 */
final class LoopMonitor {
    /** From this delay on the loop counts as delayed. */
    private static final Duration DELAYED = Duration.ofMillis(100);

    /** Hysteresis: below this delay the loop counts as on time again. */
    private static final Duration ON_TIME = Duration.ofMillis(30);

    private final Clock clock;
    private final EventLog log;
    private final Duration interval;
    private long ranNanos;
    private boolean running;
    private boolean delayed;
    private Duration longest = Duration.ZERO;

    /**
     * Makes a monitor.
     *
     * @param interval the interval at which {@link #tick} is due
     */
    LoopMonitor(Clock clock, EventLog log, Duration interval) {
        this.clock = clock;
        this.log = log;
        this.interval = interval;
    }

    /** Records that the step runs now. */
    void tick() {
        long now = clock.nanoTime();
        long lateNanos = running ? now - ranNanos - interval.toNanos() : 0;
        Duration delay = Duration.ofNanos(Math.max(0, lateNanos));
        running = true;
        ranNanos = now;
        if (!delayed && delay.compareTo(DELAYED) >= 0) {
            delayed = true;
            longest = delay;
            log.log(Event.LOOP_DELAYED, "delay-ms", delay.toMillis());
        } else if (delayed && delay.compareTo(ON_TIME) < 0) {
            delayed = false;
            log.log(Event.LOOP_ON_TIME, "longest-delay-ms", longest.toMillis());
        }
        longest = longest.compareTo(delay) < 0 ? delay : longest;
    }
}
