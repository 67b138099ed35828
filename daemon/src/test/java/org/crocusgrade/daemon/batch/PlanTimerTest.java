package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How much of the time planning rounds use when each event triggers one. */
class PlanTimerTest {
    private static final long MILLI = 1_000_000L;

    private final PlanTimer timer = new PlanTimer();

    @Test
    void roundFollowsAnEventSoon() {
        assertThat(timer.delay(0), is(Duration.ofMillis(3)));
        timer.onRound(0, MILLI / 2);
        assertThat(timer.delay(500 * MILLI), is(Duration.ofMillis(3)));
    }

    @Test
    void slowRoundsLeaveThreeQuartersOfTheTime() {
        long now = 0;
        long planning = 0;
        while (now < 1000 * MILLI) {
            long end = now + 12 * MILLI;
            timer.onRound(now, end);
            planning += end - now;
            now = end + timer.delay(end).toNanos();
        }
        assertThat(Math.round(100.0 * planning / now), is(25L));
    }

    @Test
    void oneVerySlowRoundDelaysTheNextOneOnlyBriefly() {
        timer.onRound(0, 900 * MILLI);
        assertThat(timer.delay(900 * MILLI), is(Duration.ofMillis(100)));
    }
}
