package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;
import org.junit.jupiter.api.Test;

/** When a late event loop is reported. */
class LoopMonitorTest {
    private final SimTime time = new SimTime();
    private final EventLog log = new EventLog(time);
    private final LoopMonitor monitor = new LoopMonitor(time, log, Duration.ofMillis(100));

    @Test
    void aDelayIsReportedOnceUntilTheLoopIsOnTimeAgain() {
        tickAfter(0);
        tickAfter(100);
        assertThat(log.count(Event.LOOP_DELAYED), is(0L));
        tickAfter(400);
        tickAfter(500);
        assertThat(log.count(Event.LOOP_DELAYED), is(1L));
        tickAfter(200);
        assertThat("still late", log.count(Event.LOOP_ON_TIME), is(0L));
        tickAfter(110);
        assertThat(log.count(Event.LOOP_ON_TIME), is(1L));
        tickAfter(400);
        assertThat(log.count(Event.LOOP_DELAYED), is(2L));
    }

    private void tickAfter(long millis) {
        time.run(millis);
        monitor.tick();
    }
}
