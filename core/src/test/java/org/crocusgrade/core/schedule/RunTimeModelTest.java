package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Duration;
import org.crocusgrade.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

/** Estimates that are far off are replaced by the learned mean; accurate ones are kept. */
class RunTimeModelTest {
    private final RunTimeModel model = new RunTimeModel();

    @Test
    void estimateIsUsedUntilEnoughRunsAreRecorded() {
        assertThat(model.predictMillis(Pool.QUEUE, step(1500)), closeTo(1500, 1));
    }

    @Test
    void inaccurateEstimatesAreReplacedByTheMean() {
        for (int i = 0; i < 40; i++) {
            model.add(Pool.QUEUE, step(i % 2 == 0 ? 8000 : 125), 1000);
        }
        assertThat(model.predictMillis(Pool.QUEUE, step(8000)), closeTo(1000, 10));
    }

    @Test
    void accurateEstimatesAreUsed() {
        for (int i = 0; i < 40; i++) {
            int millis = i % 2 == 0 ? 4000 : 500;
            model.add(Pool.QUEUE, step(millis), millis * 1.1);
        }
        assertThat(model.predictMillis(Pool.QUEUE, step(4000)), closeTo(4000, 10));
    }

    private static StepSpec step(int millis) {
        return new StepBuilder(1, 1000).estimate(Duration.ofMillis(millis)).build();
    }
}
