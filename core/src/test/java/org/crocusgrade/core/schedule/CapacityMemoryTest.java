package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** A pool whose hosts are away for a moment is not a pool without hosts. */
class CapacityMemoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final CapacityMemory memory = new CapacityMemory();

    @Test
    void halfOfWhatWasThereLatelyCounts() {
        assertThat(memory.countedOn(200, SECOND), closeTo(200, 0.1));
        assertThat(memory.countedOn(0, SECOND + SECOND / 10), closeTo(99, 1));
        assertThat(memory.countedOn(150, 2 * SECOND), closeTo(150, 0.1));
    }

    @Test
    void whatWasThereLongAgoIsForgotten() {
        memory.countedOn(200, SECOND);
        assertThat(memory.countedOn(0, 60 * SECOND), lessThan(1.0));
    }
}
