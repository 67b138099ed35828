package org.crocusgrade.core.fleet.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;
import org.junit.jupiter.api.Test;

/**
 * Checks that hosts move to the pools that lack them, and that hosts with long-running tasks stay.
 */
class PoolBalancerTest {
    private static final ServiceId HOT = new ServiceId("hot");
    private static final ServiceId CALM = new ServiceId("calm");
    private static final ServiceId STANDBY = new ServiceId("standby");

    private final PoolBalancer balancer = new PoolBalancer(new SurgeSequenceForecast());
    private final List<HostView> hosts = new ArrayList<>();
    private final Map<ServiceId, PoolNeed> needs = new HashMap<>();

    @Test
    void aPoolThatLacksHostsGetsThemFromStandbyFirst() {
        add("s", STANDBY, 2, 0, 0);
        add("c", CALM, 4, 0, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 64 + 60);
        need(CALM, 5);
        List<PoolBalancer.Move> moves = decideAfterDwell();
        assertThat(moves, hasSize(2));
        assertThat(names(moves), everyItem(startsWith("s")));
    }

    /** Guards against a pool that counts as large enough although its hosts have no memory left. */
    @Test
    void memoryCountsWhereItBinds() {
        add("s", STANDBY, 4, 0, 0);
        add("h", HOT, 2, 4, 2);
        needs.put(HOT, new PoolNeed(HOT, 20, 20, 0, 0, 80, 40, 0));
        assertThat(decideAfterDwell(), hasSize(2));
        needs.put(HOT, new PoolNeed(HOT, 20, 20, 0, 0, 20, 10, 0));
        assertThat(decideAfterDwell(), empty());
    }

    /** Guards against hosts that are given away although the memory of the others is full. */
    @Test
    void poolWhoseMemoryIsNeededGivesNoHosts() {
        add("c", CALM, 4, 1, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        needs.put(CALM, new PoolNeed(CALM, 5, 5, 0, 0, 60, 60, 0));
        assertThat(decideAfterDwell(), empty());
    }

    /** Guards against a host for each report of the same lack, while the first is on its way. */
    @Test
    void hostsOnTheirWayCountAgainstTheHostsThatAreLacking() {
        add("s", STANDBY, 4, 0, 0);
        add("h", HOT, 4, 1, 1);
        needs.put(HOT, new PoolNeed(HOT, 20, 0, 0, 0, 0, 0, 2));
        assertThat(decideAfterDwell(), hasSize(2));
        assertThat(decideWithIncoming(1), hasSize(1));
        assertThat(decideWithIncoming(2), empty());
    }

    /** Guards against a surge that takes every host, so that a task without room waits on. */
    @Test
    void poolWithATaskWithoutRoomIsServedBeforeALargerLack() {
        add("s", STANDBY, 3, 0, 0);
        add("c", CALM, 3, 1, 1);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        needs.put(CALM, new PoolNeed(CALM, 3, 0, 0, 0, 0, 0, 1));
        List<ServiceId> to = decideAfterDwell().stream().map(PoolBalancer.Move::to).toList();
        assertThat(to, containsInAnyOrder(CALM, HOT, HOT));
    }

    /** Guards against an empty host that leaves while a task of its pool waits for one. */
    @Test
    void poolThatLacksAHostGivesNone() {
        add("c", CALM, 4, 0, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        needs.put(CALM, new PoolNeed(CALM, 5, 0, 0, 0, 0, 0, 1));
        assertThat(decideAfterDwell(), empty());
    }

    @Test
    void hostsWithLongRunningTasksStay() {
        add("c", CALM, 4, 2, 2);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        need(CALM, 5);
        assertThat(decideAfterDwell(), empty());
    }

    @Test
    void theGivingPoolKeepsTheHostsItNeeds() {
        add("c", CALM, 4, 0, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        need(CALM, 60);
        assertThat(decideAfterDwell(), hasSize(1));
    }

    @Test
    void incomingHostsCountAsCapacity() {
        add("s", STANDBY, 3, 0, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 64 + 60);
        assertThat(balancer.decide(10, hosts, needs, Map.of(HOT, 2), Set.of(STANDBY)), empty());
    }

    @Test
    void poolWithoutAnOwnerReportGivesNoHosts() {
        add("c", CALM, 4, 0, 0);
        add("h", HOT, 2, 4, 0);
        need(HOT, 300);
        assertThat(decideAfterDwell(), empty());
    }

    @Test
    void idleHostsGoToStandbyAfterTheIdleTime() {
        add("s", STANDBY, 1, 0, 0);
        add("c", CALM, 4, 0, 0);
        need(CALM, 1);
        assertThat(balancer.decide(0, hosts, needs, Map.of(), Set.of(STANDBY)), empty());
        List<PoolBalancer.Move> moves =
                balancer.decide(10, hosts, needs, Map.of(), Set.of(STANDBY));
        assertThat(moves, not(empty()));
        assertThat(moves.get(0).to(), is(STANDBY));
        assertThat("3 of 4 stay: half of 5 hosts for 1 pool", moves, hasSize(1));
    }

    @Test
    void idleHostsGoToStandbyAlsoWhenNoHostIsLeftThere() {
        add("c", CALM, 8, 0, 0);
        need(CALM, 1);
        balancer.decide(0, hosts, needs, Map.of(), Set.of(STANDBY));
        List<PoolBalancer.Move> moves =
                balancer.decide(10, hosts, needs, Map.of(), Set.of(STANDBY));
        assertThat(moves, not(empty()));
        assertThat(moves.get(0).to(), is(STANDBY));
    }

    @Test
    void eachPoolKeepsHostsForASurgeThatIsNotForecast() {
        add("s", STANDBY, 2, 0, 0);
        add("c", CALM, 8, 0, 0);
        add("h", HOT, 8, 0, 0);
        need(CALM, 0);
        need(HOT, 0);
        balancer.decide(0, hosts, needs, Map.of(), Set.of(STANDBY));
        List<PoolBalancer.Move> moves =
                balancer.decide(10, hosts, needs, Map.of(), Set.of(STANDBY));
        long ofCalm = moves.stream().filter(m -> m.host().value().startsWith("c")).count();
        assertThat("5 of 8 stay: half of 18 hosts for 2 pools", ofCalm, is(3L));
        assertThat(moves, hasSize(6));
    }

    private List<PoolBalancer.Move> decideAfterDwell() {
        balancer.decide(0, hosts, Map.of(), Map.of(), Set.of(STANDBY));
        return balancer.decide(3, hosts, needs, Map.of(), Set.of(STANDBY));
    }

    private List<PoolBalancer.Move> decideWithIncoming(int hostsOnTheirWay) {
        Map<ServiceId, Integer> incoming = Map.of(HOT, hostsOnTheirWay);
        return balancer.decide(3, hosts, needs, incoming, Set.of(STANDBY));
    }

    private static List<String> names(List<PoolBalancer.Move> moves) {
        return moves.stream().map(m -> m.host().value()).toList();
    }

    private void need(ServiceId pool, double cores) {
        needs.put(pool, new PoolNeed(pool, 0, cores, 0, 0));
    }

    private void add(String prefix, ServiceId pool, int count, int running, int longRunning) {
        for (int i = 0; i < count; i++) {
            String name = prefix + i;
            boolean standby = pool.equals(STANDBY);
            hosts.add(
                    new HostView(
                            new HostId(name),
                            pool,
                            Optional.of(new WorkerId("w" + name)),
                            State.UP,
                            Optional.of("r1"),
                            32_000,
                            standby,
                            !standby,
                            false,
                            running,
                            longRunning,
                            true));
        }
    }
}
