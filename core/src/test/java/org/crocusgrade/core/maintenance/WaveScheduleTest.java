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

/**
 * Guards the choice of hosts for a requested wave: half of the fleet is due while the load of the
 * queues keeps peaking. The wave must end in time, keep within its limit of hosts in maintenance,
 * and never interrupt a long-running task.
 */
class WaveScheduleTest {
    private static final ServiceId POOL = new ServiceId("p");

    private final Map<HostId, HostView> hosts = new HashMap<>();
    private final Set<HostId> done = new HashSet<>();
    private final Set<HostId> unconfirmed = new HashSet<>();
    private final List<HostId> wave = new ArrayList<>();

    @Test
    void emptyHostsGoFirstAndOthersAreEvacuated() {
        HostId idle = add("idle", State.UP, true, 0, 0);
        HostId busy = add("busy", State.UP, false, 3, 0);
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(20), 2);
        assertThat(decision.maintain(), is(List.of(idle)));
        assertThat(decision.evacuate(), hasItem(busy));
    }

    @Test
    void noMoreHostsAreInMaintenanceThanTheWaveAllows() {
        for (int i = 0; i < 6; i++) {
            add("h" + i, State.UP, true, 0, 0);
        }
        done.add(add("away", State.MAINTENANCE, false, 0, 0));
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(5), 3);
        assertThat(decision.maintain().size(), lessThanOrEqualTo(2));
    }

    @Test
    void hostsWithUnconfirmedOrdersCountAsInMaintenance() {
        for (int i = 0; i < 4; i++) {
            add("h" + i, State.UP, true, 0, 0);
        }
        HostId begun = add("begun", State.UP, true, 0, 0);
        done.add(begun);
        unconfirmed.add(begun);
        unconfirmed.add(add("asked", State.UP, true, 0, 0));
        assertThat(decide(Duration.ofSeconds(5), 3).maintain(), hasSize(1));
    }

    @Test
    void aHostWithALongRunningTaskIsNeverTakenBeforeItIsEmpty() {
        HostId host = add("h", State.UP, false, 1, 1);
        WaveSchedule.Decision decision = decide(Duration.ofSeconds(-5), 3);
        assertThat(decision.maintain(), empty());
        assertThat(decision.evacuate(), hasItem(host));
    }

    @Test
    void whenTimeRunsOutHostsAreTakenDespiteRunsThatMayBeRepeated() {
        HostId host = add("h", State.UP, false, 4, 0);
        assertThat(decide(Duration.ofSeconds(20), 3).maintain(), empty());
        assertThat(decide(Duration.ofSeconds(1), 3).maintain(), is(List.of(host)));
    }

    @Test
    void oneHostWithLongRunningTasksPerPoolIsEvacuatedAtATime() {
        add("h1", State.UP, false, 1, 1);
        add("h2", State.UP, false, 1, 1);
        assertThat(decide(Duration.ofSeconds(4), 3).evacuate(), hasSize(1));
    }

    /** Left for the end of the wave, such hosts were emptied too late, one after the other. */
    @Test
    void hostsWithLongRunningTasksDoNotWaitForIdleOnesIfTheyNeedAllOfTheTime() {
        for (int i = 0; i < 10; i++) {
            add("idle" + i, State.UP, true, 0, 0);
        }
        for (int i = 0; i < 3; i++) {
            add("long" + i, State.UP, false, 1, 1);
        }
        HostId first = new HostId("long0");
        assertThat(decide(Duration.ofSeconds(20), 3).evacuate(), hasItem(first));
        assertThat(decide(Duration.ofSeconds(60), 3).evacuate(), not(hasItem(first)));
    }

    @Test
    void theWaveIsCompleteWhenAllRemainingHostsHaveStarted() {
        done.add(add("h1", State.UP, false, 1, 0));
        wave.add(new HostId("removed-from-fleet"));
        assertThat(decide(Duration.ofSeconds(4), 3).complete(), is(true));
        add("h2", State.DOWN, false, 0, 0);
        assertThat(decide(Duration.ofSeconds(4), 3).complete(), is(not(true)));
    }

    private WaveSchedule.Decision decide(Duration remaining, int atOnce) {
        WaveRequest request = new WaveRequest(1, wave, Duration.ofSeconds(25), atOnce);
        return WaveSchedule.decide(request, remaining, hosts, done, unconfirmed, Map.of());
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
                        longRunning,
                        true));
        return host;
    }
}
