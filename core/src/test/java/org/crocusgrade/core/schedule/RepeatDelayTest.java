package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RepeatDelayTest {
    private static final Duration MAX = Duration.ofMillis(400);

    private final RepeatDelay delay = new RepeatDelay(MAX);

    @Test
    void nothingIsRepeatedBeforeAnAnswerShowsHowLongTheyTake() {
        assertThat(delay.delay(), is(Optional.empty()));
    }

    @Test
    void fastAnswersLetALostOneBeNoticedSoon() {
        answers(5, 50);
        assertThat(delay.delay().orElseThrow(), lessThan(Duration.ofMillis(200)));
    }

    /** Guards against repetitions by a caller that has no processor time to read the answers. */
    @Test
    void slowAnswersAreNotTakenForLostOnes() {
        answers(5, 50);
        answers(200, 50);
        assertThat(delay.delay(), is(Optional.empty()));
    }

    @Test
    void repetitionsInVainBecomeRarerUntilAnAnswerComes() {
        answers(5, 50);
        Duration first = delay.delay().orElseThrow();
        delay.repeatedInVain();
        assertThat(delay.delay().orElse(MAX), greaterThanOrEqualTo(first.multipliedBy(2)));
        delay.repeatedInVain();
        assertThat(delay.delay(), is(Optional.empty()));
        answers(5, 1);
        assertThat(delay.delay().orElseThrow(), is(first));
    }

    private void answers(long millis, int count) {
        for (int i = 0; i < count; i++) {
            delay.answeredAfter(Duration.ofMillis(millis));
        }
    }
}
