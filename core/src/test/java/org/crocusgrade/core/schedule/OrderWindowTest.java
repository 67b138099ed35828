package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How many orders are in flight on owners that read answers at different rates. */
class OrderWindowTest {
    private static final long MILLI = 1_000_000L;
    private static final long TIMEOUT_MILLIS = 800;

    /** An order takes this long even if the owner has nothing else to do. */
    private static final long ROUND_TRIP_MILLIS = 5;

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300, 2000})
    void answersAreReadBeforeTheTimeOutAtAnyRate(int answersPerSecond) {
        assertThat(longestDelayMillis(answersPerSecond), lessThan(TIMEOUT_MILLIS));
    }

    @Test
    void windowGrowsOnlyWhileOrdersWaitForIt() {
        OrderWindow window = new OrderWindow();
        int initial = window.room(0);
        window.onAnswer(ROUND_TRIP_MILLIS * MILLI, MILLI);
        assertThat(window.room(0), is(initial));
        window.setLimiting(true);
        for (int i = 0; i <= initial; i++) {
            window.onAnswer(ROUND_TRIP_MILLIS * MILLI, 2 * MILLI);
        }
        assertThat(window.room(0), greaterThan(initial));
        assertThat(window.room(initial + 100), is(0));
    }

    @Test
    void windowShrinksOncePerDelayAndNotToNothing() {
        OrderWindow window = new OrderWindow();
        int initial = window.room(0);
        for (int i = 0; i < 20; i++) {
            window.onAnswer(700 * MILLI, i * MILLI);
        }
        assertThat(window.room(0), is(initial / 2));
        for (int i = 0; i < 100; i++) {
            window.onAnswer(700 * MILLI, i * 300 * MILLI);
        }
        assertThat(window.room(0), lessThanOrEqualTo(initial / 4));
        assertThat(window.room(0), greaterThan(0));
    }

    /** Sends orders for 20 s as fast as the window allows; answers are read one after the other. */
    private static long longestDelayMillis(int answersPerSecond) {
        OrderWindow window = new OrderWindow();
        window.setLimiting(true);
        Deque<Long> sentMillis = new ArrayDeque<>();
        long longest = 0;
        double capacity = 0;
        for (long now = 0; now < 20_000; now++) {
            while (window.room(sentMillis.size()) > 0) {
                sentMillis.add(now);
            }
            capacity = Math.min(1, capacity + answersPerSecond / 1000.0);
            capacity += Math.max(0, answersPerSecond / 1000.0 - 1);
            while (capacity >= 1 && !sentMillis.isEmpty()) {
                if (now - sentMillis.peek() < ROUND_TRIP_MILLIS) {
                    break;
                }
                long delay = now - sentMillis.remove();
                longest = Math.max(longest, delay);
                window.onAnswer(delay * MILLI, now * MILLI);
                capacity--;
            }
        }
        return longest;
    }
}
