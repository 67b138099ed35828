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

/** The queue against the naive dispatcher, each on the same seeded schedule. */
class DispatchDifferentialTest {
    private static final Duration SURGE = Duration.ofSeconds(4);
    private static final long SURGE_END = DispatchComparison.SURGE_START + SURGE.toNanos();

    /** The share of what the slots could carry that prompt work must get at five times the mean. */
    private static final double CARRIED_TARGET = 0.99;

    /** The longest wait of urgent work. */
    private static final long URGENT_START_NANOS = Duration.ofSeconds(2).toNanos();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whereSlotsSufficeBothAnswerAlike(long seed) {
        Schedule schedule = DispatchComparison.surge(1.6, SURGE, seed);
        ScheduleDriver.Fleet fleet = DispatchComparison.fleet(0);
        ScheduleDriver.Result own =
                ScheduleDriver.run(schedule, fleet, DispatchComparison.own(seed));
        ScheduleDriver.Result naive =
                ScheduleDriver.run(schedule, fleet, DispatchComparison.naive());
        assertThat(own.breaches() + naive.breaches(), is(0));
        assertThat(own.answers(), is(naive.answers()));
        assertThat(own.count(Reason.OK), is((long) schedule.arrivals().size()));
        assertThat(own.inTime(), is(naive.inTime()));
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0", "4, 1", "5, 1", "6, 1"})
    void atFiveTimesTheMeanTheSlotsDoWorkThatIsInTime(long seed, int failing) {
        Schedule schedule = DispatchComparison.surge(5, SURGE, seed);
        ScheduleDriver.Fleet fleet = DispatchComparison.fleet(failing);
        ScheduleDriver.Result own =
                ScheduleDriver.run(schedule, fleet, DispatchComparison.own(seed));
        ScheduleDriver.Result naive =
                ScheduleDriver.run(schedule, fleet, DispatchComparison.naive());
        assertThat(own.breaches() + naive.breaches(), is(0));
        double carried = carried(schedule, failing, own);
        assertThat(carried, is(greaterThanOrEqualTo(CARRIED_TARGET)));
        assertThat(own.inTime(), is(greaterThan(naive.inTime())));
        assertThat(own.urgentWaits().getMaxValue(), is(lessThanOrEqualTo(URGENT_START_NANOS)));
    }

    private static double carried(Schedule schedule, int failing, ScheduleDriver.Result result) {
        return DispatchComparison.carried(
                schedule, failing, result, DispatchComparison.SURGE_START, SURGE_END);
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
    void noScheduleBreaksTheTruth(
            long seed, ServiceClass kind, int workers, int slots, double load, int bound) {
        Duration run = Duration.ofMillis(30);
        double perSecond = load * workers * slots / (run.toNanos() / 1e9);
        Schedule.Spec spec =
                new Schedule.Spec(
                        List.of(
                                new Schedule.Phase(Duration.ofSeconds(2), 1),
                                new Schedule.Phase(Duration.ofSeconds(2), 0.05),
                                new Schedule.Phase(Duration.ofSeconds(2), 5)),
                        perSecond,
                        run,
                        Duration.ofMillis(20),
                        3,
                        0.3);
        Schedule schedule = Schedule.draw(spec, seed);
        ScheduleDriver.Fleet fleet = new ScheduleDriver.Fleet(workers, slots, workers / 3);
        ScheduleDriver.Result own =
                ScheduleDriver.run(
                        schedule,
                        fleet,
                        QueueDispatcher.factory(kind, bound, Duration.ofSeconds(1), seed));
        ScheduleDriver.Result naive =
                ScheduleDriver.run(schedule, fleet, actions -> new NaiveDispatcher(actions, bound));
        assertThat(own.breaches(), is(0));
        assertThat(naive.breaches(), is(0));
        assertThat(own.answers().size(), is(schedule.arrivals().size()));
    }
}
