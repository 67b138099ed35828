package org.crocusgrade.core.schedule;

import java.time.Duration;

/**
 * Bounds the start and stop orders in flight of a pool's owner, by slow start, then additive
 * increase and multiplicative decrease.
 *
 * <p>Load: a surge makes thousands of tasks startable within seconds, on an owner with little
 * processor time. Each order uses some of it to connect, to send and to read the answer. If all
 * orders are sent at once, each waits for all others: their answers are read after the time-out,
 * the owner has to stop the runs and orders them again, and this uses more processor time than the
 * orders did. With a bounded number in flight the others wait as tasks, at no cost. The bound
 * follows the delay of the answers, because the time that an order takes depends on the processor,
 * the link and what else the owner does.
 *
 * <p>Worked case: an owner reads 300 answers in a second. With 1,000 orders in flight the last
 * answer is read after 3.3 s. The window grows while answers take at most 250 ms, so it stays near
 * 75, and each order is answered within a third of its time-out.
 *
 * <p>An order that is unanswered for longer than that counts as lost, not as in flight: otherwise
 * orders to a worker that does not answer would hold up those to all others.
 */
final class OrderWindow {
    private static final int INITIAL = 16;
    private static final int MIN = 4;
    private static final int MAX = 256;

    /** The window shrinks while answers take longer than this: a third of an order's time-out. */
    static final long TARGET_NANOS = Duration.ofMillis(250).toNanos();

    /** Weight of the newest answer in the moving average of delays. */
    private static final double NEWEST_WEIGHT = 0.25;

    private static final double SHRINK_FACTOR = 0.5;

    /** Growth for each answer until the window shrinks for the first time. */
    private static final double SLOW_START_GROWTH = 0.5;

    private double size = INITIAL;
    private double delayNanos;
    private boolean limiting;
    private boolean shrunk;
    private long shrunkNanos;

    /** Returns how many orders may be sent beside those made within {@link #TARGET_NANOS}. */
    int room(int inFlight) {
        return Math.max(0, (int) size - inFlight);
    }

    /** Records whether orders had to wait for the window; only then it grows. */
    void setLimiting(boolean value) {
        limiting = value;
    }

    /**
     * Records that an order was answered some time after it was made. The window grows by one order
     * each time that as many as it holds were answered, and by half its size until it has shrunk.
     */
    void onAnswer(long answerNanos, long now) {
        delayNanos += NEWEST_WEIGHT * (answerNanos - delayNanos);
        if (delayNanos <= TARGET_NANOS) {
            double growth = shrunk ? 1 / size : SLOW_START_GROWTH;
            size = limiting ? Math.min(MAX, size + growth) : size;
            return;
        }
        if (!shrunk || now - shrunkNanos > TARGET_NANOS) {
            size = Math.max(MIN, size * SHRINK_FACTOR);
            shrunk = true;
            shrunkNanos = now;
        }
    }
}
