package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;
import org.junit.jupiter.api.Test;

/** Checks what an order requires of its host when it is sent. */
class FleetActionTest {
    private static final HostId HOST = new HostId("h1");

    private final FleetAction move = FleetAction.move(HOST, new ServiceId("quotes"), () -> {});
    private final FleetAction urgent = FleetAction.maintain(HOST, true, () -> {});

    @Test
    void anOrderForAnEmptyHostNeedsItEmpty() {
        assertThat(move.isAllowed(hosts(true, true, 0, 0)), is(true));
        assertThat("a task runs", move.isAllowed(hosts(true, true, 1, 0)), is(false));
        assertThat("tasks may start", move.isAllowed(hosts(true, false, 0, 0)), is(false));
        assertThat("no recent report", move.isAllowed(hosts(false, true, 0, 0)), is(false));
        assertThat("no such host", move.isAllowed(Map.of()), is(false));
    }

    @Test
    void anUrgentOrderNeverInterruptsLongRunningTasks() {
        assertThat(urgent.isAllowed(hosts(true, false, 2, 0)), is(true));
        assertThat(urgent.isAllowed(hosts(true, false, 2, 1)), is(false));
        assertThat("no recent report", urgent.isAllowed(hosts(false, false, 0, 0)), is(false));
    }

    @Test
    void anActionWithoutHostIsAlwaysAllowed() {
        assertThat(FleetAction.withoutHost(() -> {}).isAllowed(Map.of()), is(true));
    }

    private static Map<HostId, HostView> hosts(
            boolean reported, boolean evacuating, int running, int longRunning) {
        HostView view =
                new HostView(
                        HOST,
                        new ServiceId("quotes"),
                        Optional.of(new WorkerId("w1")),
                        State.UP,
                        Optional.of("r1"),
                        8000,
                        false,
                        reported,
                        evacuating,
                        running,
                        longRunning,
                        true);
        return Map.of(HOST, view);
    }
}
