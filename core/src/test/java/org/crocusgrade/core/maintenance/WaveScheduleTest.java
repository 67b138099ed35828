package org.crocusgrade.core.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostControl.State;
import org.junit.jupiter.api.Test;

/** Half of the fleet is due while the queues go on surging. */
class WaveScheduleTest {
    private static final ServiceId POOL = new ServiceId("p");

    private final Map<HostId, HostView> hosts = new HashMap<>();
    private final Set<HostId> done = new HashSet<>();
    private final Set<HostId> unseen = new HashSet<>();
    private final List<HostId> wave = new ArrayList<>();

    @Test
    void emptyHostsGoFirstAndOthersAreEmptied() {
        HostId idle = add("idle", State.UP, true, 0, 0);
        HostId busy = add("busy", State.UP, false, 3, 0);
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(20), 2);
        assertThat(decision.maintain(), is(List.of(idle)));
        assertThat(decision.evacuate(), hasItem(busy));
    }

    @Test
    void noMoreHostsAreAwayThanTheWaveAllows() {
        for (int i = 0; i < 6; i++) {
            add("h" + i, State.UP, true, 0, 0);
        }
        done.add(add("away", State.MAINTENANCE, false, 0, 0));
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(5), 3);
        assertThat(decision.maintain().size(), lessThanOrEqualTo(2));
    }

    @Test
    void hostsThatTheListDoesNotShowInMaintenanceYetCountAsAway() {
        for (int i = 0; i < 4; i++) {
            add("h" + i, State.UP, true, 0, 0);
        }
        HostId begun = add("begun", State.UP, true, 0, 0);
        done.add(begun);
        unseen.add(begun);
        unseen.add(add("asked", State.UP, true, 0, 0));
        assertThat(decide(Duration.ofSeconds(5), 3).maintain(), hasSize(1));
    }

    @Test
    void aHostWithALongRunningTaskIsNeverTakenAsItIs() {
        HostId host = add("h", State.UP, false, 1, 1);
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(-5), 3);
        assertThat(decision.maintain(), empty());
        assertThat(decision.evacuate(), hasItem(host));
    }

    @Test
    void atTheLastMomentHostsGoWithRunsThatMayBeRepeated() {
        HostId host = add("h", State.UP, false, 4, 0);
        assertThat(decide(Duration.ofSeconds(20), 3).maintain(), empty());
        assertThat(decide(Duration.ofSeconds(1), 3).maintain(), is(List.of(host)));
    }

    @Test
    void oneHostWithLongRunningTasksOfAPoolIsEmptiedAtATime() {
        add("h1", State.UP, false, 1, 1);
        add("h2", State.UP, false, 1, 1);
        assertThat(decide(Duration.ofSeconds(4), 3).evacuate(), hasSize(1));
    }

    @Test
    void theWaveIsCompleteWhenAllThatAreLeftHaveBegun() {
        done.add(add("h1", State.UP, false, 1, 0));
        wave.add(new HostId("left-for-good"));
        assertThat(decide(Duration.ofSeconds(4), 3).complete(), is(true));
        add("h2", State.DOWN, false, 0, 0);
        assertThat(decide(Duration.ofSeconds(4), 3).complete(), is(not(true)));
    }

    private WaveSchedule.Decision decide(Duration left, int cap) {
        WaveRequest request = new WaveRequest(1, wave, Duration.ofSeconds(25), cap);
        return WaveSchedule.decide(request, left, hosts, done, unseen, Map.of());
    }

    private HostId add(String name, State state, boolean evacuated, int running, int longRunning) {
        HostId host = new HostId(name);
        wave.add(host);
        hosts.put(
                host,
                new HostView(
                        host,
                        POOL,
                        Optional.of(new WorkerId("w-" + name)),
                        state,
                        Optional.of("r1"),
                        32_000,
                        false,
                        true,
                        evacuated,
                        running,
                        longRunning));
        return host;
    }
}
