package org.crocusgrade.standin.hosts;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.ManualClock;
import org.crocusgrade.standin.hosts.HostListState.RebootResult;
import org.junit.jupiter.api.Test;

class HostListStateTest {
    private static final WorkerId WORKER = new WorkerId("w-1");
    private static final Duration LAG = Duration.ofSeconds(3);

    private final ManualClock clock = new ManualClock();
    private final HostListState state = new HostListState(clock, List.of(host()));

    @Test
    void listShowsAChangeOnlyAfterTheLag() {
        clock.advance(Duration.ofSeconds(10));
        state.setState(WORKER, HostEntry.State.LEAVING);
        clock.advance(LAG.minusMillis(1));
        assertThat(state.versionAt(LAG).hosts().get(0).state(), is(HostEntry.State.LIVE));
        clock.advance(Duration.ofMillis(1));
        assertThat(state.versionAt(LAG).hosts().get(0).state(), is(HostEntry.State.LEAVING));
    }

    @Test
    void repeatedOperationStartsNoSecondReboot() {
        assertThat(state.requestReboot(WORKER, "v2", "op-1"), is(RebootResult.STARTED));
        state.completeReboot(WORKER);
        assertThat(state.requestReboot(WORKER, "v2", "op-1"), is(RebootResult.ALREADY_ACCEPTED));
        assertThat(state.host(WORKER).get().state(), is(HostEntry.State.LIVE));
        assertThat(state.host(WORKER).get().image(), is("v2"));
        assertThat(state.requestReboot(WORKER, "v3", "op-1"), is(RebootResult.OPERATION_ID_REUSED));
        assertThat(
                state.requestReboot(new WorkerId("w-9"), "v2", "op-2"),
                is(RebootResult.UNKNOWN_WORKER));
        assertThat(state.reboots(), is(1));
    }

    private static HostEntry host() {
        return new HostEntry(
                WORKER,
                new InetSocketAddress("127.0.0.1", 9),
                new RackId("r-1"),
                new AvailabilityZone("rennes"),
                HostEntry.State.LIVE,
                32,
                1L << 37,
                0,
                8,
                64,
                "v1");
    }
}
