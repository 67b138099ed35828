package org.crocusgrade.core.port;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * A point in time, read from both clocks, from which the age of a permission is measured.
 *
 * <p>The monotonic clock stands still while a host is suspended, and the wall clock may jump. The
 * age is the longer of the two: a jump forward makes a permission expire early, which is safe, and
 * a suspension cannot make it look younger than it is.
 *
 * @param nanos the monotonic time, in nanoseconds
 * @param wall the wall-clock time
 */
public record ClockReading(long nanos, Instant wall) {
    /** Rejects a null wall-clock time. */
    public ClockReading {
        Objects.requireNonNull(wall);
    }

    /** Reads both clocks. */
    public static ClockReading of(Clock clock) {
        return new ClockReading(clock.nanoTime(), clock.now());
    }

    /** Returns the time that has passed since this reading; at least 0. */
    public Duration age(Clock clock) {
        Duration monotonic = Duration.ofNanos(Math.max(0, clock.nanoTime() - nanos));
        Duration elapsed = Duration.between(wall, clock.now());
        return monotonic.compareTo(elapsed) >= 0 ? monotonic : elapsed;
    }

    /** Returns whether at most the given time has passed since this reading. */
    public boolean isWithin(Duration limit, Clock clock) {
        return age(clock).compareTo(limit) <= 0;
    }
}
