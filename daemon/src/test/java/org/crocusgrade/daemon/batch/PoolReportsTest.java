package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.crocusgrade.daemon.log.EventLog;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.junit.jupiter.api.Test;

/** Checks that a report is used only while it certainly describes the present. */
class PoolReportsTest {
    private static final long TICK_MILLIS = 100;

    private final SimTime time = new SimTime();
    private final PoolReports reports = new PoolReports(time, new EventLog(time));

    @Test
    void aReportExpires() {
        reports.tick();
        reports.onReport(report(5), 5);
        time.run(300);
        assertThat(reports.recent(), hasSize(1));
        time.run(100);
        assertThat(reports.recent(), empty());
        assertThat("its figures remain", reports.all(), hasSize(1));
    }

    @Test
    void aReportOfAFormerOwnerIsIgnored() {
        assertThat(reports.onReport(report(5), 0), is(true));
        assertThat("the store names a newer owner", reports.onReport(report(5), 6), is(false));
        assertThat(reports.onReport(report(7), 6), is(true));
        assertThat("a newer owner has reported", reports.onReport(report(6), 0), is(false));
    }

    @Test
    void reportsFromBeforeAFreezeAreForgotten() {
        tickFor(300);
        reports.onReport(report(5), 5);
        time.run(2000);
        reports.onReport(report(5), 5);
        assertThat("it waited to be read during the freeze", reports.recent(), hasSize(1));
        reports.tick();
        assertThat(reports.recent(), empty());
        assertThat("it may have waited too", reports.onReport(report(5), 5), is(false));
        tickFor(200);
        assertThat(reports.onReport(report(5), 5), is(true));
    }

    @Test
    void reportsFromBeforeASuspensionAreForgotten() {
        tickFor(300);
        reports.onReport(report(5), 5);
        time.suspend(2000);
        reports.tick();
        assertThat(reports.recent(), empty());
    }

    private void tickFor(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            time.run(TICK_MILLIS);
            reports.tick();
        }
    }

    private static PoolStatusMessage report(long token) {
        return PoolStatusMessage.newBuilder().setService("quotes").setToken(token).build();
    }
}
