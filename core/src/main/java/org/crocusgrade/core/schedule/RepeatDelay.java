package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides how long a call to a worker may stay unanswered before it is repeated, by the time that
 * answers usually take.
 *
 * <p>Load: a surge keeps twenty short runs on each worker, and a worker leaves one call in twenty
 * unanswered. Until such a call times out, its start order holds capacity that nothing uses, and an
 * unanswered poll hides the ends of all runs of the worker, which stands idle meanwhile. A few
 * answers later each worker of the pool is in that state.
 *
 * <p>A call that takes {@code FACTOR} times the usual time is probably lost, and a repetition costs
 * one more call. Where the caller itself is slow, its answers take long as well, so the delay grows
 * with its own load, and beyond the maximum nothing is repeated. Repetitions that show nothing new
 * double the delay until an answer does.
 *
 * <p>Example: polls are answered after 40 ms on average, so one is repeated after 160 ms, instead
 * of failing after 2,200 ms. If the runs of a worker have begun together, polls are answered after
 * 500 ms on average; one that is sent 100 ms before their expected end is repeated after 250 ms.
 */
public final class RepeatDelay {
    /** Minimum delay: the answers of a worker vary by tens of milliseconds. */
    private static final Duration MIN = Duration.ofMillis(150);

    private static final double FACTOR = 4;

    /** Weight of the newest answer in the moving average. */
    private static final double NEWEST_WEIGHT = 0.1;

    private static final int MAX_DOUBLINGS = 8;

    private final Duration max;
    private double meanNanos;
    private int doublings;

    /**
     * Creates a delay that has seen no answer yet, and so repeats nothing.
     *
     * @param max the delay from which on a repetition is not worth its call
     */
    public RepeatDelay(Duration max) {
        this.max = max;
        meanNanos = max.toNanos() / FACTOR;
    }

    /** Records that a call was answered, and that the answer was of use, after the given time. */
    public void answeredAfter(Duration time) {
        meanNanos += NEWEST_WEIGHT * (time.toNanos() - meanNanos);
        doublings = 0;
    }

    /** Records that a repeated call was answered while nothing had been lost. */
    public void repeatedInVain() {
        doublings++;
    }

    /** Returns the time after which to repeat a call, or empty if it is not to be repeated. */
    public Optional<Duration> delay() {
        return delay(max);
    }

    /**
     * Returns the time after which to repeat a call whose answer is expected at the latest after a
     * given time, or empty if it is not to be repeated.
     */
    public Optional<Duration> delay(Duration expected) {
        double usual = Math.min(FACTOR * meanNanos, expected.plus(MIN).toNanos());
        double nanos = Math.max(MIN.toNanos(), usual) * (1L << Math.min(doublings, MAX_DOUBLINGS));
        return nanos < max.toNanos()
                ? Optional.of(Duration.ofNanos((long) nanos))
                : Optional.empty();
    }
}
