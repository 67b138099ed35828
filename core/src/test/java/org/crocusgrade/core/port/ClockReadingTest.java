package org.crocusgrade.core.port;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Checks the age of a reading while one of the clocks misleads. */
class ClockReadingTest {
    private long nanos = 5_000_000_000L;
    private Instant wall = Instant.parse("2026-01-01T00:00:00Z");

    private final Clock clock =
            new Clock() {
                @Override
                public Instant now() {
                    return wall;
                }

                @Override
                public long nanoTime() {
                    return nanos;
                }
            };

    private final ClockReading reading = ClockReading.of(clock);

    @Test
    void theTimeOfASuspensionCounts() {
        advance(Duration.ofMillis(100), Duration.ofSeconds(7));
        assertThat(reading.age(clock), is(Duration.ofSeconds(7)));
        assertThat(reading.isWithin(Duration.ofSeconds(5), clock), is(false));
    }

    @Test
    void aWallClockThatIsSetBackMakesNothingYounger() {
        advance(Duration.ofSeconds(3), Duration.ofSeconds(-60));
        assertThat(reading.age(clock), is(Duration.ofSeconds(3)));
        assertThat(reading.isWithin(Duration.ofSeconds(3), clock), is(true));
    }

    private void advance(Duration monotonic, Duration onWall) {
        nanos += monotonic.toNanos();
        wall = wall.plus(onWall);
    }
}
