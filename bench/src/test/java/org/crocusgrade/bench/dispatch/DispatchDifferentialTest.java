package org.crocusgrade.bench.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.dispatch.Reason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the daemon's queue with the naive dispatcher on the same schedules. */
class DispatchDifferentialTest {
    private static final Duration SURGE_LENGTH = Duration.ofSeconds(4);
    private static final long SURGE_END_NANOS =
            DispatchComparison.SURGE_START_NANOS + SURGE_LENGTH.toNanos();

    /**
     * Minimum share of the work bound that the queue must reach in a surge of five times the mean.
     */
    private static final double MIN_SHARE_OF_BOUND = 0.99;

    /** Maximum wait of an urgent request until its first start. */
    private static final long MAX_URGENT_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void dispatchersAgreeWhenSlotsSuffice(long seed) {
        Schedule schedule = DispatchComparison.surgeSchedule(1.6, SURGE_LENGTH, seed);
        DispatchSimulator.Fleet fleet = DispatchComparison.fleet(0);
        DispatchSimulator.Result own =
                DispatchSimulator.run(schedule, fleet, DispatchComparison.queueFactory(seed));
        DispatchSimulator.Result naive =
                DispatchSimulator.run(schedule, fleet, DispatchComparison.naiveFactory());
        assertThat(own.breaches() + naive.breaches(), is(0));
        assertThat(own.answers(), is(naive.answers()));
        assertThat(own.count(Reason.OK), is((long) schedule.arrivals().size()));
        assertThat(own.inTime(), is(naive.inTime()));
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0", "4, 1", "5, 1", "6, 1"})
    void queueNearsTheWorkBoundAtFiveTimesTheMeanLoad(long seed, int failing) {
        Schedule schedule = DispatchComparison.surgeSchedule(5, SURGE_LENGTH, seed);
        DispatchSimulator.Fleet fleet = DispatchComparison.fleet(failing);
        DispatchSimulator.Result own =
                DispatchSimulator.run(schedule, fleet, DispatchComparison.queueFactory(seed));
        DispatchSimulator.Result naive =
                DispatchSimulator.run(schedule, fleet, DispatchComparison.naiveFactory());
        assertThat(own.breaches() + naive.breaches(), is(0));
        double shareOfBound = shareOfBound(schedule, failing, own);
        assertThat(shareOfBound, is(greaterThanOrEqualTo(MIN_SHARE_OF_BOUND)));
        assertThat(own.inTime(), is(greaterThan(naive.inTime())));
        assertThat(own.urgentWaits().getMaxValue(), is(lessThanOrEqualTo(MAX_URGENT_WAIT_NANOS)));
    }

    private static double shareOfBound(
            Schedule schedule, int failing, DispatchSimulator.Result result) {
        return DispatchComparison.shareOfBound(
                schedule, failing, result, DispatchComparison.SURGE_START_NANOS, SURGE_END_NANOS);
    }

    @ParameterizedTest
    @CsvSource({
        "11, PROMPT, 1, 3, 0.5, 30",
        "12, PROMPT, 2, 2, 3.0, 5",
        "13, PROMPT, 4, 1, 1.5, 500",
        "14, MUST_FINISH, 3, 4, 2.0, 50",
        "15, MUST_FINISH, 1, 1, 4.0, 10",
        "16, PROMPT, 5, 8, 6.0, 2000",
        "17, MUST_FINISH, 5, 8, 1.0, 2000",
        "18, PROMPT, 3, 8, 0.9, 1",
    })
    void answersAreTrueOnVariedSchedules(
            long seed, ServiceClass kind, int workers, int slots, double load, int bound) {
        Duration run = Duration.ofMillis(30);
        double arrivalsPerSecond = load * workers * slots / (run.toNanos() / 1e9);
        Schedule.Spec spec =
                new Schedule.Spec(
                        List.of(
                                new Schedule.Phase(Duration.ofSeconds(2), 1),
                                new Schedule.Phase(Duration.ofSeconds(2), 0.05),
                                new Schedule.Phase(Duration.ofSeconds(2), 5)),
                        arrivalsPerSecond,
                        run,
                        Duration.ofMillis(20),
                        3,
                        0.3);
        Schedule schedule = Schedule.generate(spec, seed);
        DispatchSimulator.Fleet fleet = new DispatchSimulator.Fleet(workers, slots, workers / 3);
        DispatchSimulator.Result own =
                DispatchSimulator.run(
                        schedule,
                        fleet,
                        QueueDispatcher.factory(kind, bound, Duration.ofSeconds(1), seed));
        DispatchSimulator.Result naive =
                DispatchSimulator.run(
                        schedule, fleet, actions -> new NaiveDispatcher(actions, bound));
        assertThat(own.breaches(), is(0));
        assertThat(naive.breaches(), is(0));
        assertThat(own.answers().size(), is(schedule.arrivals().size()));
    }
}
