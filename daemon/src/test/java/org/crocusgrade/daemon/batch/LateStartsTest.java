package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a task that is done and begins once more: a start without an answer, whose
 * repetition was carried out, reaches the worker after it has crashed and lost its memory.
 */
class LateStartsTest {
    private static final int SEEDS = 10;
    private static final double UNANSWERED = 0.3;
    private static final WorkerId WORKER = new WorkerId("w");
    private static final TaskId TASK = TaskId.parse("00000000000000aa.0.0.1").orElseThrow();

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

    @Test
    void startIsForgottenWhenItCanNoLongerBeCarriedOut() {
        LateStarts starts = new LateStarts();
        long sent = -LateStarts.MAX_DELAY.toNanos() / 2;
        starts.add(WORKER, TASK, 1, sent);
        starts.add(WORKER, TASK, 2, sent + Duration.ofSeconds(2).toNanos());
        long end = sent + LateStarts.MAX_DELAY.toNanos();
        assertThat(starts.of(WORKER, end), hasSize(2));
        assertThat(starts.of(WORKER, end + 1), hasSize(1));
        assertThat(starts.of(new WorkerId("other"), end), empty());
        starts.removeOld(end + Duration.ofSeconds(3).toNanos());
        assertThat(starts.of(WORKER, end), empty());
    }
}
