package org.crocusgrade.bench.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {
    private static final Duration LENGTH = Duration.ofMinutes(2);

    @Property(tries = 100, seed = "1")
    void pairsOverlapAndDoNotConflict(@ForAll long seed) {
        List<Fault> faults = FaultSchedule.draw(LENGTH, 3, 35, seed);
        assertThat(faults.size(), is(greaterThan(2)));
        for (int i = 0; i < faults.size(); i += 2) {
            Fault first = faults.get(i);
            Fault second = faults.get(i + 1);
            assertThat(second.start(), is(lessThanOrEqualTo(first.end())));
            assertThat(second.end(), is(lessThanOrEqualTo(LENGTH)));
            boolean twoWorkers =
                    first.kind().component() == Fault.Component.WORKER
                            && first.target() != second.target();
            assertThat(
                    first.kind().component() != second.kind().component() || twoWorkers, is(true));
        }
    }

    @Test
    void sameSeedGivesTheSameSchedule() {
        List<Fault> faults = FaultSchedule.draw(LENGTH, 3, 35, 7);
        assertThat(FaultSchedule.draw(LENGTH, 3, 35, 7), is(faults));
        assertThat(FaultSchedule.draw(LENGTH, 3, 35, 8), is(not(faults)));
    }
}
