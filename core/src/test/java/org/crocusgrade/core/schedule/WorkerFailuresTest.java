package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.run;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.junit.jupiter.api.Test;

/** Where tasks run again after stalled and failed runs, and which workers are quarantined. */
class WorkerFailuresTest {
    private final Pool pool = Pool.settled();

    @Test
    void stalledRunsAreStoppedAndTheirWorkerQuarantined() {
        WorkerNode healthy = pool.worker("w1", "r1");
        for (int i = 1; i <= 10; i++) {
            pool.submit(false, step(1, 1000));
            Placement run = pool.startAll().get(0);
            pool.advance(Duration.ofMillis(1000));
            pool.report(healthy, end(i, run, Result.DONE));
        }
        healthy.setDraining(true);
        WorkerNode hung = pool.worker("w2", "r2");
        pool.submit(false, step(1, 1000));
        pool.submit(false, step(1, 1000));
        assertThat(pool.startAll(), hasSize(2));
        pool.report(hung);
        pool.advance(Duration.ofMillis(2000));
        pool.report(hung);
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(3000));
        pool.report(hung);
        assertThat(pool.stops(), hasSize(2));
        assertThat(hung.acceptsRuns(pool.now()), is(false));
    }

    @Test
    void stallLimitDoublesEachTimeTaskIsStopped() {
        WorkerNode worker = pool.worker("w1", "r1");
        int ends = 0;
        for (int i = 1; i <= 10; i++) {
            pool.submit(false, step(1, 1000));
            Placement run = pool.startAll().get(0);
            pool.advance(Duration.ofMillis(1000));
            pool.report(worker, end(++ends, run, Result.DONE));
        }
        pool.submit(false, step(1, 1000));
        Placement run = pool.startAll().get(0);
        pool.advance(Duration.ofMillis(5000));
        pool.report(worker);
        assertThat(pool.stops(), hasSize(1));
        pool.scheduler.onStopAnswer(run, true, pool.now());
        pool.report(worker, end(++ends, run, Result.STOPPED));
        assertThat(pool.startAll(), hasSize(1));
        pool.advance(Duration.ofMillis(7000));
        pool.report(worker);
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(3000));
        pool.report(worker);
        assertThat(pool.stops(), hasSize(1));
    }

    @Test
    void failuresOfOneSubmissionDoNotQuarantineWorker() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.submit(false, step(5, 1000));
        List<Placement> runs = pool.startAll();
        for (int i = 0; i < runs.size(); i++) {
            pool.report(worker, end(i + 1, runs.get(i), Result.FAILED));
        }
        assertThat(worker.acceptsRuns(pool.now()), is(true));
    }

    @Test
    void runsOfDeadWorkerStartElsewhere() {
        WorkerNode dead = pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        assertThat(pool.startAll().get(0).worker(), is(dead));
        pool.scheduler.removeWorker(dead);
        WorkerNode next = pool.worker("w2", "r2");
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(next));
    }

    @Test
    void unansweredStartBlocksTaskUntilNextIncarnationHasReported() {
        WorkerNode last = pool.worker("w1", "r1");
        pool.submit(false, step(2, 1000));
        List<Placement> starts = pool.starts();
        assertThat(starts, hasSize(2));
        pool.answer(starts.get(0), StartAnswer.STARTED);
        assertThat(pool.scheduler.incarnationEnded(last), is(true));
        WorkerNode next = pool.worker("w1", "r1");
        pool.scheduler.addNextIncarnation(last, next, pool.now());
        pool.worker("w2", "r2");
        List<Order.Stop> stops = pool.stops();
        assertThat(stops, hasSize(2));
        assertThat(stops.get(0).worker(), is(next));
        for (Order.Stop stop : stops) {
            pool.scheduler.onStopAnswer(stop.placement().orElseThrow(), true, pool.now());
        }
        assertThat(pool.starts(), empty());
        pool.list(next, List.of());
        assertThat(pool.starts(), hasSize(2));
    }

    /** Of four runs, three may be started by the next incarnation when the leases have expired. */
    @Test
    void runThatMayBeStartedLateIsNotReplacedWhenLeasesHaveExpired() {
        WorkerNode silent = pool.worker("w1", "r1");
        pool.submit(false, step(4, 1000));
        List<Placement> runs = pool.starts();
        assertThat(runs, hasSize(4));
        pool.answer(runs.get(0), StartAnswer.UNKNOWN);
        pool.answer(runs.get(1), StartAnswer.STARTED);
        runs.get(1).setAnswered();
        pool.scheduler.openStarts().onSent(runs.get(1), pool.now(), Duration.ZERO);
        pool.answer(runs.get(2), StartAnswer.STARTED);
        runs.get(2).setAnswered();
        pool.answer(runs.get(3), StartAnswer.STARTED);
        pool.advance(Duration.ofSeconds(5));
        silent.setUsable(false);
        pool.scheduler.removeConfinedRuns(silent);
        assertThat(silent.placements(), containsInAnyOrder(runs.get(0), runs.get(1), runs.get(3)));
        WorkerNode other = pool.worker("w2", "r2");
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(other));
        pool.advance(Duration.ofSeconds(11));
        pool.scheduler.openStarts().removeOld(pool.now(), time -> true);
        pool.scheduler.removeConfinedRuns(silent);
        assertThat(silent.placements(), containsInAnyOrder(runs.get(0), runs.get(3)));
    }

    @Test
    void workerFailingSeveralSubmissionsIsQuarantinedForAWhile() {
        WorkerNode failing = pool.worker("w1", "r1");
        for (int i = 0; i < 3; i++) {
            pool.submit(false, step(1, 1000));
        }
        List<Placement> runs = pool.startAll();
        for (int i = 0; i < 3; i++) {
            pool.report(failing, end(1 + i, runs.get(i), Result.FAILED));
        }
        pool.advance(Duration.ofMillis(100));
        assertThat(pool.starts(), empty());
        pool.worker("w2", "r1");
        assertThat(pool.starts(), hasSize(3));
        pool.advance(Duration.ofSeconds(3));
        assertThat(failing.acceptsRuns(pool.now()), is(true));
    }

    /** The worker that fails its runs has the most room and would be chosen again. */
    @Test
    void failedTaskIsTriedOnAnotherWorker() {
        WorkerNode first = pool.worker("w1", "r1");
        pool.submit(false, step(1, 30_000));
        Placement failed = pool.startAll().get(0);
        WorkerNode other = pool.worker("w2", "r1");
        pool.submit(false, step(1, 16_000));
        assertThat(pool.startAll().get(0).worker(), is(other));
        pool.report(first, end(1, failed, Result.FAILED));
        pool.advance(Duration.ofMillis(100));
        assertThat("the task waits for room on another worker", pool.starts(), empty());
        WorkerNode third = pool.worker("w3", "r1");
        assertThat(pool.starts().get(0).worker(), is(third));
    }

    @Test
    void failedTaskWaitsForAnotherWorkerOnlyBriefly() {
        WorkerNode first = pool.worker("w1", "r1");
        pool.submit(false, step(1, 30_000));
        Placement failed = pool.startAll().get(0);
        pool.worker("w2", "r1");
        pool.submit(false, step(1, 16_000));
        pool.startAll();
        pool.report(first, end(1, failed, Result.FAILED));
        pool.advance(Duration.ofMillis(2100));
        assertThat(pool.starts().get(0).worker(), is(first));
    }

    @Test
    void taskThatFailedOnAllWorkersIsRetried() {
        WorkerNode only = pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        pool.report(only, end(1, pool.startAll().get(0), Result.FAILED));
        pool.advance(Duration.ofMillis(100));
        assertThat(pool.starts(), hasSize(1));
    }
}
