package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a task that is done and begins once more: a start without an answer, whose
 * repetition was carried out, reaches the worker after it has crashed and lost its memory.
 */
class LateStartsTest {
    private static final int SEEDS = 10;
    private static final double UNANSWERED = 0.3;

    /** The range of seeds can be set by {@code -Dlate.first} and {@code -Dlate.last}. */
    static List<Long> seeds() {
        long last = Long.getLong("late.last", SEEDS);
        return LongStream.rangeClosed(Long.getLong("late.first", 1), last).boxed().toList();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void lateStartThatReachesTheNextIncarnationIsRejected(long seed) {
        SimFleet fleet = new SimFleet(seed);
        fleet.daemons.values().forEach(d -> d.orders.setLateInTransit());
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(UNANSWERED));
        for (int i = 0; i < 4; i++) {
            fleet.submit(10);
            fleet.time.run(300);
        }
        fleet.daemons.values().forEach(d -> d.orders.setLateShare(0));
        fleet.time.run(1500);
        for (SimWorker worker : List.copyOf(fleet.workers.values())) {
            worker.crashVisibly();
            fleet.time.run(200);
            worker.restart();
            fleet.register(worker);
            fleet.time.run(100);
        }
        fleet.time.run(20_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.unfinished(), empty());
    }
}
