package org.crocusgrade.core.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostProgress.Phase;
import org.junit.jupiter.api.Test;

/**
 * Runs waves over simulated hosts. Guards that a wave maintains each host, keeps within the
 * availability budget of each pool, and copes with failed and stuck hosts, surges, lost zones, and
 * planners that are paused or replaced.
 */
class MaintenancePlannerTest {
    private static final Duration TICK = Duration.ofSeconds(5);
    private static final int MAX_TICKS = 2000;
    private static final Epoch FIRST = new Epoch(1);

    private final MaintenancePlanner planner = new DefaultMaintenancePlanner();
    private WaveRecord record = WaveRecord.EMPTY;
    private MaintenanceStep last;

    private static RolloutPolicy rollOut(String image, int attempt) {
        return new RolloutPolicy(
                Optional.of(image),
                attempt,
                false,
                0.1,
                Duration.ofSeconds(30),
                2,
                Duration.ofMinutes(10));
    }

    private void tick(FakeHosts hosts, RolloutPolicy policy) {
        last = planner.next(hosts.view(policy), record, FIRST);
        record = last.record();
        hosts.apply(last.decisions());
        hosts.advance(TICK);
        for (int p = 0; p < 2; p++) {
            assertThat(
                    hosts.unavailable(new PoolId("p" + p)),
                    lessThanOrEqualTo((long) FakeHosts.BUDGET));
        }
    }

    private int run(FakeHosts hosts, RolloutPolicy policy) {
        int ticks = 0;
        do {
            tick(hosts, policy);
            ticks++;
        } while (record.status() == WaveRecord.Status.RUNNING && ticks < MAX_TICKS);
        return ticks;
    }

    @Test
    void rollsAnImageOutToEachHostOnce() {
        FakeHosts hosts = new FakeHosts(6, 8);
        run(hosts, rollOut("v2", 0));
        assertThat(record.status(), is(WaveRecord.Status.IDLE));
        assertThat(
                hosts.hosts.values().stream().map(h -> h.image).collect(Collectors.toList()),
                everyItem(equalTo("v2")));
        assertThat(hosts.reboots.values(), everyItem(equalTo(1)));
        assertThat(hosts.reboots.keySet(), hasSize(14));
    }

    @Test
    void maintainsEachHostWithinItsInterval() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.every = Duration.ofHours(4);
        Duration elapsed = Duration.ZERO;
        while (elapsed.compareTo(Duration.ofHours(12)) < 0) {
            tick(hosts, RolloutPolicy.DEFAULT);
            assertThat(last.progress().overdue(), is(0));
            elapsed = elapsed.plus(TICK);
        }
        assertThat(hosts.reboots.keySet(), hasSize(14));
        assertThat(hosts.reboots.values(), everyItem(greaterThanOrEqualTo(3)));
    }

    @Test
    void canariesAreDoneBeforeOthersAreStarted() {
        FakeHosts hosts = new FakeHosts(6, 8);
        while (record.count(Phase.DONE) < 2) {
            assertThat(record.hosts().size(), lessThanOrEqualTo(2));
            tick(hosts, rollOut("v2", 0));
        }
        assertThat(record.hosts().size(), greaterThan(2));
    }

    @Test
    void failedCanaryStopsTheWaveUntilANewAttempt() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.neverBack.addAll(hosts.hosts.keySet());
        run(hosts, rollOut("v2", 0));
        assertThat(record.status(), is(WaveRecord.Status.STOPPED));
        assertThat(hosts.reboots.keySet().size(), lessThanOrEqualTo(2));
        int before = hosts.reboots.size();
        tick(hosts, rollOut("v2", 0));
        assertThat(hosts.reboots.size(), is(before));
        hosts.neverBack.clear();
        hosts.advance(TICK);
        run(hosts, rollOut("v2", 1));
        assertThat(record.status(), is(WaveRecord.Status.IDLE));
    }

    @Test
    void hostsThatFailAfterwardsStopTheWave() {
        FakeHosts hosts = new FakeHosts(6, 8);
        RolloutPolicy policy = rollOut("v2", 0);
        while (record.count(Phase.DONE) < 4) {
            tick(hosts, policy);
        }
        record.hosts().keySet().stream()
                .filter(w -> record.hosts().get(w).phase() == Phase.DONE)
                .filter(w -> hosts.hosts.get(w).pool.equals(new PoolId("p0")))
                .limit(1)
                .forEach(w -> hosts.hosts.get(w).state = WorkerState.QUARANTINED);
        last = planner.next(hosts.view(policy), record, FIRST);
        assertThat(last.record().status(), is(WaveRecord.Status.RUNNING));
        record.hosts().keySet().stream()
                .filter(w -> record.hosts().get(w).phase() == Phase.DONE)
                .forEach(w -> hosts.hosts.get(w).state = WorkerState.QUARANTINED);
        last = planner.next(hosts.view(policy), record, FIRST);
        assertThat(last.record().stopped(), is(Optional.of(MaintenanceReason.CORRELATED_FAILURES)));
    }

    @Test
    void postponesMaintenanceWhileDemandSurges() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.surging.add(new PoolId("p0"));
        for (int i = 0; i < 200; i++) {
            tick(hosts, rollOut("v2", 0));
        }
        assertThat(hosts.reboots.keySet(), hasSize(8));
        assertThat(
                last.decisions(),
                hasItem(new MaintenanceDecision.Hold(new PoolId("p0"), MaintenanceReason.SURGE)));
        hosts.surging.clear();
        run(hosts, rollOut("v2", 0));
        assertThat(hosts.reboots.keySet(), hasSize(14));
    }

    @Test
    void hostsDownForOtherCausesUseUpTheBudget() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.hosts.get(new WorkerId("h00")).up = false;
        hosts.hosts.get(new WorkerId("h01")).state = WorkerState.QUARANTINED;
        for (int i = 0; i < 200; i++) {
            tick(hosts, rollOut("v2", 0));
        }
        assertThat(hosts.reboots.keySet(), hasSize(8));
    }

    @Test
    void startsNoHostWhileAZoneIsDown() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.minWorkers = 0;
        RolloutPolicy policy = rollOut("v2", 0);
        while (record.count(Phase.DONE) < 2) {
            tick(hosts, policy);
        }
        hosts.hosts.values().stream().filter(h -> h.zone == 2).forEach(h -> h.up = false);
        Set<WorkerId> startedBefore = new HashSet<>(record.hosts().keySet());
        for (int i = 0; i < 50; i++) {
            last = planner.next(hosts.view(policy), record, FIRST);
            record = last.record();
            hosts.apply(last.decisions());
            hosts.advance(TICK);
        }
        assertThat(record.hosts().keySet(), equalTo(startedBefore));
        hosts.hosts.values().stream().filter(h -> h.zone == 2).forEach(h -> h.up = true);
        run(hosts, policy);
        assertThat(hosts.reboots.keySet(), hasSize(14));
    }

    @Test
    void returnsAHostWhoseWorkDoesNotEndAndRetriesItLater() {
        FakeHosts hosts = new FakeHosts(6, 8);
        hosts.hosts.get(new WorkerId("h00")).stuck = true;
        RolloutPolicy policy = rollOut("v2", 0);
        while (record.count(Phase.PUT_BACK) == 0) {
            tick(hosts, policy);
        }
        assertThat(hosts.hosts.get(new WorkerId("h00")).state, is(WorkerState.SERVING));
        assertThat(hosts.reboots.get(new WorkerId("h00")), equalTo(null));
        hosts.hosts.get(new WorkerId("h00")).stuck = false;
        run(hosts, policy);
        assertThat(hosts.reboots.get(new WorkerId("h00")), equalTo(1));
    }

    @Test
    void startsNoHostWhilePaused() {
        RolloutPolicy on = rollOut("v2", 0);
        RolloutPolicy paused =
                new RolloutPolicy(on.image(), 0, true, 0.1, on.watch(), 2, on.rebootTimeout());
        FakeHosts hosts = new FakeHosts(6, 8);
        tick(hosts, paused);
        assertThat(record.hosts().keySet(), empty());
    }

    @Test
    void plannerOfAnEarlierEpochIsRejected() {
        FakeHosts hosts = new FakeHosts(3, 3);
        MaintenanceView view = hosts.view(RolloutPolicy.DEFAULT);
        WaveRecord later = planner.next(view, record, new Epoch(5)).record();
        assertThrows(IllegalArgumentException.class, () -> planner.next(view, later, new Epoch(4)));
    }

    /**
     * Guards against a second reboot of a host in a wave when planners are replaced or act
     * concurrently. Writes fail, answers are lost after the write, and decisions are carried out
     * late, twice or not at all.
     */
    @Property(tries = 40)
    void noHostIsRebootedTwiceWhenPlannersFailOrOverlap(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) throws Exception {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        FakeHosts hosts = new FakeHosts(5, 6);
        RolloutPolicy policy = rollOut("v2", 0);
        byte[] stored = WaveCodec.encode(WaveRecord.EMPTY);
        List<MaintenanceDecision> delayed = List.of();
        for (int i = 0; i < 600; i++) {
            WaveRecord read = WaveCodec.decode(stored);
            MaintenanceStep step =
                    new DefaultMaintenancePlanner().next(hosts.view(policy), read, FIRST);
            double outcome = random.nextDouble();
            boolean written = outcome > 0.2;
            boolean answered = outcome > 0.4;
            if (written) {
                stored = WaveCodec.encode(step.record());
            }
            if (answered) {
                hosts.apply(step.decisions());
                if (random.nextDouble() < 0.2) {
                    hosts.apply(step.decisions());
                }
            }
            if (written && random.nextDouble() < 0.1) {
                hosts.apply(reboots(delayed));
                delayed = step.decisions();
            }
            hosts.advance(TICK);
            assertThat(hosts.unavailable(new PoolId("p0")), lessThanOrEqualTo(2L));
            assertThat(hosts.unavailable(new PoolId("p1")), lessThanOrEqualTo(2L));
        }
        assertThat(hosts.reboots.values(), everyItem(equalTo(1)));
        assertThat(hosts.reboots.keySet(), hasSize(11));
    }

    /**
     * Returns the decisions that a paused planner may still carry out late: only reboot requests.
     * Draining and giving back write a rack record by compare-and-swap, which fails if the record
     * has changed; requests to the platform have no such fence.
     */
    private static List<MaintenanceDecision> reboots(List<MaintenanceDecision> decisions) {
        return decisions.stream().filter(d -> d instanceof MaintenanceDecision.Reboot).toList();
    }
}
