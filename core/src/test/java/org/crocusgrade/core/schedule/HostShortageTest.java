package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.crocusgrade.core.submission.Resources;
import org.junit.jupiter.api.Test;

/** Checks which tasks show that a pool needs another host. */
class HostShortageTest {
    private final Pool pool = Pool.settled();

    /** Guards against one host for each task, where a host has room for several. */
    @Test
    void tasksShareTheHostsThatThePoolWouldGet() {
        WorkerNode lost = pool.worker("w1", "r1");
        pool.worker("w2", "r2");
        pool.submit(false, new StepBuilder(6, 1000).maxPerWorker(3).longRunning(0).build());
        assertThat(pool.startAll(), hasSize(6));
        pool.scheduler.removeWorker(lost);
        assertThat(shortage().tasks(), is(3));
        assertThat(shortage().hosts(), is(1));
    }

    @Test
    void stepsWithALimitPerWorkerShareHosts() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(3, 1000).maxPerWorker(1).longRunning(0).build());
        pool.submit(false, new StepBuilder(2, 1000).maxPerWorker(1).longRunning(0).build());
        assertThat(pool.startAll(), hasSize(2));
        assertThat(shortage().tasks(), is(3));
        assertThat(shortage().hosts(), is(2));
    }

    /** Guards against a pool that collects hosts of which none helps. */
    @Test
    void noHostIsLackingIfOthersWouldNotHelpEither() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).label("none").longRunning(0).build());
        pool.submit(false, new StepBuilder(1, 64_000).longRunning(0).build());
        assertThat(pool.startAll(), hasSize(0));
        assertThat(shortage(), is(HostShortage.NONE));
    }

    /** Guards against hosts for batch tasks that get room as soon as others end. */
    @Test
    void batchTasksBehindOtherBatchTasksLackNoHost() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(3, 20_000).build());
        assertThat(pool.startAll(), hasSize(1));
        assertThat(shortage(), is(HostShortage.NONE));
    }

    /** Guards against a batch task that waits forever beside long-running tasks. */
    @Test
    void batchTaskThatFitsBesideNoLongRunningTaskLacksAHost() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 20_000).longRunning(0).build());
        pool.submit(false, new StepBuilder(3, 20_000).build());
        assertThat(pool.startAll(), hasSize(1));
        assertThat(shortage().hosts(), is(1));
    }

    /** Guards against a host for each of many submissions that could share one. */
    @Test
    void batchTasksWithoutRoomLackOneHostTogether() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 20_000).longRunning(0).build());
        for (int i = 0; i < 50; i++) {
            pool.submit(false, new StepBuilder(1, 20_000).build());
        }
        assertThat(pool.startAll(), hasSize(1));
        assertThat(shortage().hosts(), is(1));
    }

    /** Guards against a gang that never starts, as its members have too few workers at once. */
    @Test
    void gangWithTooFewPlacesLacksHosts() {
        pool.worker("w1", "r1");
        pool.worker("w2", "r2");
        pool.submit(false, new StepBuilder(4, 1000).gang().maxPerWorker(1).build());
        assertThat(pool.startAll(), hasSize(0));
        assertThat(shortage().hosts(), is(2));
        pool.worker("w3", "r3");
        pool.worker("w4", "r4");
        assertThat(shortage(), is(HostShortage.NONE));
        assertThat(pool.startAll(), hasSize(4));
    }

    /** Guards against hosts for a gang that starts as soon as other tasks end. */
    @Test
    void gangBehindBatchTasksLacksNoHost() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 30_000).build());
        assertThat(pool.startAll(), hasSize(1));
        pool.submit(false, new StepBuilder(4, 4000).gang().build());
        assertThat(pool.startAll(), hasSize(0));
        assertThat(shortage(), is(HostShortage.NONE));
    }

    /** Guards against maintenance that waits because no other worker has room. */
    @Test
    void taskOnAnEvacuatingWorkerLacksAHostIfItMayBeUnavailable() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).maxPerWorker(1).longRunning(1).build());
        pool.startAll();
        pool.report(leaving);
        assertThat(shortage(), is(HostShortage.NONE));
        leaving.setEvacuating(true);
        assertThat(shortage().hosts(), is(1));
        pool.worker("w2", "r2");
        assertThat(shortage(), is(HostShortage.NONE));
    }

    /** Guards against a place that counts for a task that stops and for another as well. */
    @Test
    void placeOfATaskThatStopsIsNoRoomForAnother() {
        WorkerNode first = pool.worker("w1", "r1");
        WorkerNode second = pool.worker("w2", "r2");
        pool.submit(false, new StepBuilder(2, 1000).maxPerWorker(1).longRunning(2).build());
        pool.startAll();
        pool.report(first);
        pool.report(second);
        first.setEvacuating(true);
        pool.worker("w3", "r3");
        pool.plan();
        assertThat(shortage(), is(HostShortage.NONE));
        second.setEvacuating(true);
        assertThat(shortage().hosts(), is(1));
    }

    /** Guards against a task that stops for a place which is then taken away. */
    @Test
    void taskThatStopsLacksAHostIfItsPlaceIsGone() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).maxPerWorker(1).longRunning(1).build());
        pool.startAll();
        pool.report(leaving);
        leaving.setEvacuating(true);
        WorkerNode other = pool.worker("w2", "r2");
        pool.plan();
        assertThat(shortage(), is(HostShortage.NONE));
        other.setEvacuating(true);
        assertThat(other.expectedTasks(), is(0));
        assertThat(shortage().hosts(), is(1));
    }

    /** Guards against processors and memory that no task can use without an accelerator. */
    @Test
    void workerWithoutAFreeAcceleratorHasNoRoom() {
        pool.worker("w1", "r1", new Resources(32_000, 131_072, 1));
        pool.submit(false, new StepBuilder(2, 1000).accelerators(1).longRunning(0).build());
        assertThat(pool.startAll(), hasSize(1));
        assertThat(shortage().hosts(), is(1));
    }

    /** Guards against hosts for tasks that a former owner may have started elsewhere. */
    @Test
    void nothingIsLackingBeforeThePoolIsSettled() {
        Pool inherited = new Pool(2);
        inherited.worker("w1", "r1");
        inherited.submit(true, new StepBuilder(3, 1000).maxPerWorker(1).longRunning(0).build());
        assertThat(shortage(inherited), is(HostShortage.NONE));
    }

    private HostShortage shortage() {
        return shortage(pool);
    }

    private static HostShortage shortage(Pool pool) {
        return pool.scheduler.poolDemand().hostShortage(pool.now(), pool.wall());
    }
}
