package org.crocusgrade.standin.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.crocusgrade.core.id.ServiceId;
import org.junit.jupiter.api.Test;

class PeakScheduleTest {
    private static final int QUEUES = 5;
    private static final Duration LENGTH = Duration.ofMinutes(5);
    private static final Duration TURN = Duration.ofSeconds(4);

    private final PeakSchedule schedule = schedule(3);

    @Test
    void exactlyOneQueuePeaksAtATimeAndEachQueueDoes() {
        Set<Integer> peaked = new TreeSet<>();
        for (Duration at = Duration.ZERO; at.compareTo(LENGTH) < 0; at = at.plusMillis(100)) {
            peaked.add(schedule.peakQueue(at));
            double sum = 0;
            for (int queue = 0; queue < QUEUES; queue++) {
                sum += schedule.factor(queue, at);
            }
            assertThat(sum, closeTo(PeakSchedule.PEAK + 4 * PeakSchedule.OFF_PEAK, 1e-9));
        }
        assertThat(peaked, is(Set.of(0, 1, 2, 3, 4)));
    }

    @Test
    void callsHaveTheMeanRateAndAreTheSameForTheSameSeed() {
        List<CallPlan> calls = calls(3);
        double mean = 20 * QUEUES * LENGTH.toSeconds();
        double expected = mean * (PeakSchedule.PEAK + 4 * PeakSchedule.OFF_PEAK) / QUEUES;
        assertThat(Math.abs(calls.size() - expected), is(lessThan(4 * Math.sqrt(expected))));
        assertThat(calls(3), is(calls));
        assertThat(calls(4), is(not(calls)));
    }

    private static List<CallPlan> calls(long seed) {
        List<QueueLoad> queues = new ArrayList<>();
        for (int queue = 0; queue < QUEUES; queue++) {
            ServiceId service = new ServiceId("q" + queue);
            queues.add(new QueueLoad(service, 20, Duration.ofMillis(200), TURN, 0.5));
        }
        CallGenerator generator = new CallGenerator(queues, schedule(seed), seed);
        List<CallPlan> calls = new ArrayList<>();
        for (Duration at = Duration.ZERO;
                at.compareTo(LENGTH) < 0;
                at = at.plus(CallGenerator.TICK)) {
            calls.addAll(generator.draw(at));
        }
        return calls;
    }

    private static PeakSchedule schedule(long seed) {
        return new PeakSchedule(QUEUES, LENGTH, TURN, TURN.multipliedBy(2), seed);
    }
}
