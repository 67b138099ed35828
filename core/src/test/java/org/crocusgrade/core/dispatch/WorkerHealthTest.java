package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.crocusgrade.core.id.WorkerId;
import org.junit.jupiter.api.Test;

class WorkerHealthTest {
    private static final long MILLI = 1_000_000L;
    private static final int POOL = 6;

    private final WorkerHealth health = new WorkerHealth();
    private final List<WorkerId> workers = new ArrayList<>();

    WorkerHealthTest() {
        health.setPoolSize(POOL, 0);
        for (int i = 0; i < POOL; i++) {
            workers.add(new WorkerId("w" + i));
        }
    }

    private void report(int worker, RunEnd end, int times, long now) {
        for (int i = 0; i < times; i++) {
            health.report(workers.get(worker), end, now);
        }
    }

    @Test
    void failingWorkerIsEjectedWithinASecondAndTriedAgain() {
        for (int i = 1; i < POOL; i++) {
            report(i, RunEnd.ANSWERED, 8, 0);
        }
        report(0, RunEnd.ANSWERED_FAILURE, 8, 900 * MILLI);
        WorkerId bad = workers.get(0);
        assertThat(health.allowedSlots(bad, 8, 1000 * MILLI), is(0));
        assertThat(health.allowedSlots(bad, 8, 3000 * MILLI), is(1));
        health.report(bad, RunEnd.CONNECTION_LOST, 3000 * MILLI);
        assertThat(health.allowedSlots(bad, 8, 6900 * MILLI), is(0));
        assertThat(health.allowedSlots(bad, 8, 7000 * MILLI), is(1));
        report(0, RunEnd.ANSWERED, WorkerHealth.TRIAL_ANSWERS, 7000 * MILLI);
        assertThat(health.allowedSlots(bad, 8, 7000 * MILLI), is(8));
    }

    @Test
    void noWorkerIsEjectedWhenTheWholePoolFails() {
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < POOL; i++) {
                report(i, RunEnd.ANSWERED_FAILURE, 1, round * MILLI);
            }
        }
        for (WorkerId worker : workers) {
            assertThat(health.state(worker, 20 * MILLI), is(WorkerHealth.State.IN_USE));
        }
    }

    @Test
    void refusalsAreNotFailures() {
        report(0, RunEnd.REFUSED_SLOTS, 100, 0);
        report(0, RunEnd.REFUSED_LEAVING, 100, 0);
        assertThat(health.state(workers.get(0), 0), is(WorkerHealth.State.IN_USE));
    }

    @Test
    void oldFailuresDecay() {
        for (int second = 0; second < 60; second += 5) {
            report(0, RunEnd.ANSWER_CUT, 2, second * 1000 * MILLI);
            report(1, RunEnd.ANSWERED, 8, second * 1000 * MILLI);
            assertThat(
                    health.state(workers.get(0), second * 1000 * MILLI),
                    is(WorkerHealth.State.IN_USE));
        }
    }

    @Test
    void workersEjectedByOtherOwnersCountTowardsTheCap() {
        health.setPoolSize(POOL, 1);
        report(1, RunEnd.ANSWERED, 8, 0);
        report(0, RunEnd.ANSWER_MISMATCH, 8, 0);
        assertThat(health.state(workers.get(0), 0), is(WorkerHealth.State.IN_USE));
    }

    @Property(seed = "1", tries = 300)
    void ejectedWorkersNeverExceedTheCap(
            @ForAll @IntRange(min = 1, max = 20) int pool,
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 999) Integer> reports) {
        WorkerHealth capped = new WorkerHealth();
        capped.setPoolSize(pool, 0);
        int maxEjected = Math.max(pool >= 2 ? 1 : 0, pool / 4);
        long now = 0;
        for (int report : reports) {
            now += report % 7 * 10 * MILLI;
            WorkerId worker = new WorkerId("w" + report % pool);
            boolean bad = report % pool < pool / 2 + 1;
            capped.report(worker, bad ? 0 : 3, bad ? 3 : 0, now);
            int ejected = 0;
            for (int i = 0; i < pool; i++) {
                WorkerHealth.State state = capped.state(new WorkerId("w" + i), now);
                ejected += state == WorkerHealth.State.IN_USE ? 0 : 1;
            }
            assertThat(ejected, is(lessThanOrEqualTo(maxEjected)));
        }
    }
}
