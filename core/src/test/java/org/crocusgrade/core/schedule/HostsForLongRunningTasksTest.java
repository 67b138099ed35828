package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.PoolBalancer;
import org.crocusgrade.core.fleet.plan.PoolNeed;
import org.crocusgrade.core.fleet.plan.SurgeSequenceForecast;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.submission.Resources;
import org.junit.jupiter.api.Test;

/**
 * Guards against a long-running task that waits for a host which no pool sends, since the sums of
 * the pool's processors and memory suffice.
 */
class HostsForLongRunningTasksTest {
    private static final ServiceId STANDBY = new ServiceId("standby");

    private final Pool pool = Pool.settled();
    private final PoolBalancer balancer = new PoolBalancer(new SurgeSequenceForecast());

    @Test
    void poolGetsAHostIfTheLimitPerWorkerLeavesNoRoom() {
        WorkerNode lost = startOnThreeWorkers(new StepBuilder(3, 1000).maxPerWorker(1));
        pool.scheduler.removeWorker(lost);
        assertThat(pool.startAll(), empty());
        assertThat(movesAfterDwell(), contains(Pool.SERVICE));
    }

    @Test
    void poolGetsAHostIfNoWorkerHasEnoughMemoryLeft() {
        WorkerNode lost = startOnThreeWorkers(new StepBuilder(3, 1000).memoryMb(80_000));
        pool.scheduler.removeWorker(lost);
        assertThat(pool.startAll(), empty());
        assertThat(movesAfterDwell(), contains(Pool.SERVICE));
    }

    @Test
    void poolGetsNoHostWhileAWorkerHasRoom() {
        WorkerNode lost = startOnThreeWorkers(new StepBuilder(3, 1000).maxPerWorker(2));
        pool.scheduler.removeWorker(lost);
        assertThat(movesAfterDwell(), empty());
    }

    /** Guards against a task that is too small to make up for the hosts of a pool that lost all. */
    @Test
    void poolWithoutWorkersGetsAHost() {
        pool.submit(false, new StepBuilder(1, 1000).longRunning(0).build());
        assertThat(movesAfterDwell(), contains(Pool.SERVICE));
    }

    private WorkerNode startOnThreeWorkers(StepBuilder step) {
        pool.worker("w1", "r1");
        pool.worker("w2", "r2");
        WorkerNode last = pool.worker("w3", "r3");
        pool.submit(false, step.longRunning(0).build());
        assertThat(pool.startAll(), hasSize(3));
        return last;
    }

    /** Returns the pools to which hosts are sent. */
    private List<ServiceId> movesAfterDwell() {
        List<HostView> hosts = hosts();
        balancer.decide(0, hosts, Map.of(), Map.of(), Set.of(STANDBY));
        Map<ServiceId, PoolNeed> needs = Map.of(Pool.SERVICE, need());
        return balancer.decide(3, hosts, needs, Map.of(), Set.of(STANDBY)).stream()
                .map(PoolBalancer.Move::to)
                .toList();
    }

    private PoolNeed need() {
        PoolDemand demand = pool.scheduler.poolDemand();
        Resources waiting = demand.waiting(pool.now(), pool.wall());
        Resources longRunning = demand.reserved(true);
        double coresPerMb = cores(Pool.HOST) / Pool.HOST.memoryMb();
        return new PoolNeed(
                Pool.SERVICE,
                cores(longRunning),
                cores(demand.reserved(false).plus(waiting)),
                cores(waiting),
                demand.backlogCoreMillis() / 1000,
                longRunning.memoryMb() * coresPerMb,
                (demand.reserved(false).memoryMb() + waiting.memoryMb()) * coresPerMb,
                demand.hostShortage(pool.now(), pool.wall()).hosts());
    }

    private static double cores(Resources resources) {
        return resources.milliCores() / 1000.0;
    }

    private List<HostView> hosts() {
        List<HostView> hosts = new ArrayList<>();
        for (WorkerNode worker : pool.scheduler.workers()) {
            hosts.add(host(worker, worker.placements().size()));
        }
        for (int i = 0; i < 2; i++) {
            hosts.add(standbyHost("s" + i));
        }
        return hosts;
    }

    private static HostView host(WorkerNode worker, int longRunning) {
        return new HostView(
                new HostId("m-" + worker.id()),
                Pool.SERVICE,
                Optional.of(worker.id()),
                State.UP,
                worker.rack(),
                Pool.HOST.milliCores(),
                false,
                true,
                false,
                longRunning,
                longRunning,
                true);
    }

    private static HostView standbyHost(String name) {
        return new HostView(
                new HostId(name),
                STANDBY,
                Optional.empty(),
                State.UP,
                Optional.empty(),
                Pool.HOST.milliCores(),
                true,
                false,
                false,
                0,
                0,
                true);
    }
}
