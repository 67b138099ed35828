package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.run;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskRun;
import org.junit.jupiter.api.Test;

/** When tasks start and stop, and which proof is needed before a run counts as ended. */
class PoolSchedulerTest {
    private final Pool pool = Pool.settled();

    @Test
    void stepStartsOnlyWhenAllTasksOfItsPredecessorsAreDone() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(2, 1000), step(1, 1000, 0));
        List<Placement> first = pool.startAll();
        assertThat(first, hasSize(2));
        pool.report(worker, end(1, first.get(0), Result.DONE));
        assertThat(pool.starts(), empty());
        pool.report(worker, end(1, first.get(0), Result.DONE), end(2, first.get(1), Result.DONE));
        List<Placement> second = pool.startAll();
        assertThat(second, hasSize(1));
        assertThat(second.get(0).task().id().step().step(), is(1));
        pool.report(worker, end(3, second.get(0), Result.DONE));
        assertThat(submission.outcome(), is(SubmissionState.COMPLETED));
    }

    @Test
    void endIsReportedAndAcknowledgedOnlyOnceStored() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        Placement placement = pool.startAll().get(0);
        pool.report(worker, end(1, placement, Result.DONE));
        assertThat(worker.ackCursor(), is(0L));
        assertThat(submission.visibleState(), is(SubmissionState.RUNNING));
        submission.setStored(submission.changes(), submission.outcome());
        assertThat(worker.ackCursor(), is(1L));
        assertThat(submission.visibleState(), is(SubmissionState.COMPLETED));
    }

    @Test
    void unansweredStartBlocksTaskUntilStopIsAnsweredAndLaterReportLacksRun() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.worker("w2", "r2");
        pool.submit(false, step(1, 1000));
        Placement lost = pool.starts().get(0);
        pool.answer(lost, StartAnswer.UNKNOWN);
        List<Order.Stop> stops = pool.stops();
        assertThat(stops, hasSize(1));
        assertThat(stops.get(0).run(), is(lost.run()));
        pool.list(lost.worker(), List.of());
        assertThat(
                "a report requested before the stop was answered proves nothing",
                pool.starts(),
                empty());
        pool.scheduler.onStopAnswer(lost, true, pool.now());
        assertThat("the answer to the stop alone proves nothing", pool.starts(), empty());
        pool.list(lost.worker(), List.of());
        List<Placement> again = pool.starts();
        assertThat(again, hasSize(1));
        assertThat(again.get(0).run(), greaterThan(lost.run()));
        assertThat(worker.placements().size(), lessThanOrEqualTo(1));
    }

    @Test
    void unansweredStopIsSentAgain() {
        pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        Placement lost = pool.starts().get(0);
        pool.answer(lost, StartAnswer.UNKNOWN);
        assertThat(pool.stops(), hasSize(1));
        pool.scheduler.onStopAnswer(lost, false, pool.now());
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(400));
        assertThat(pool.stops(), hasSize(1));
    }

    @Test
    void reportRequestedBeforeStartWasAnsweredDoesNotProveRunGone() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        Placement placement = pool.starts().get(0);
        long requestedNanos = pool.now();
        pool.answer(placement, StartAnswer.STARTED);
        pool.scheduler.onReport(
                worker, requestedNanos, List.of(), List.of(), true, pool.now(), pool.wall());
        assertThat(pool.starts(), empty());
        pool.list(worker, List.of());
        assertThat(pool.starts(), hasSize(1));
    }

    @Test
    void inheritedTaskWaitsUntilPoolIsSettledAndReportedRunIsAdopted() {
        Pool next = new Pool(2);
        WorkerNode worker = next.worker("w1", "r1");
        TrackedSubmission inherited = next.submit(true, step(2, 1000));
        TrackedSubmission fresh = next.submit(false, step(1, 1000));
        List<Placement> starts = next.startAll();
        assertThat(starts, hasSize(1));
        assertThat(starts.get(0).task().step().submission(), is(fresh));
        TaskRun active = new TaskRun(firstTask(inherited).id(), 4, "", 100, 0);
        next.list(worker, List.of(active, run(starts.get(0))));
        next.scheduler.setSettled();
        List<Placement> remaining = next.startAll();
        assertThat(remaining, hasSize(1));
        assertThat(remaining.get(0).task().id().index(), is(1));
    }

    @Test
    void runNumbersOfNewTermExceedThoseOfTheLast() {
        Pool next = new Pool(2);
        next.scheduler.setSettled();
        next.worker("w1", "r1");
        next.submit(true, step(1, 1000));
        assertThat(next.starts().get(0).run(), is(1_000_001L));
    }

    @Test
    void duplicateRunIsStopped() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        Placement placement = pool.startAll().get(0);
        TaskRun other = new TaskRun(firstTask(submission).id(), 99, "", 100, 0);
        pool.list(worker, List.of(run(placement), other));
        List<Order.Stop> stops = pool.stops();
        assertThat(stops, hasSize(1));
        assertThat(stops.get(0).run(), is(99L));
    }

    @Test
    void submissionFailsWhenTaskHasUsedItsAttempts() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        for (int i = 1; i <= 3; i++) {
            pool.advance(Duration.ofMillis(100));
            pool.report(worker, end(i, pool.startAll().get(0), Result.FAILED));
        }
        assertThat(submission.outcome(), is(SubmissionState.FAILED));
        pool.advance(Duration.ofSeconds(5));
        assertThat(pool.starts(), empty());
    }

    @Test
    void failedRunReportedTwiceCountsOnce() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        Placement placement = pool.startAll().get(0);
        pool.report(worker, end(1, placement, Result.FAILED));
        pool.report(worker, end(2, placement, Result.FAILED));
        pool.report(worker, end(3, placement, Result.FAILED));
        assertThat(submission.outcome(), is(SubmissionState.QUEUED));
    }

    @Test
    void cancelStopsActiveRunsAndStartsNothing() {
        pool.worker("w1", "r1");
        TrackedSubmission submission = pool.submit(false, step(2, 1000), step(1, 1000, 0));
        assertThat(pool.startAll(), hasSize(2));
        pool.scheduler.cancel(submission, pool.wall());
        assertThat(pool.stops(), hasSize(2));
        assertThat(pool.starts(), empty());
    }

    @Test
    void tasksSpreadOverWorkersByMaxPerWorker() {
        for (int i = 1; i <= 3; i++) {
            pool.worker("w" + i, "r" + i);
        }
        pool.submit(false, new StepBuilder(5, 1000).maxPerWorker(1).longRunning(1).build());
        Set<WorkerNode> used = new HashSet<>();
        List<Placement> starts = pool.startAll();
        starts.forEach(p -> used.add(p.worker()));
        assertThat(starts, hasSize(3));
        assertThat(used, hasSize(3));
    }

    @Test
    void gangStartsWholeOrNotAtAll() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(5, 8000).gang().build());
        assertThat(pool.starts(), empty());
        pool.worker("w2", "r1");
        List<Placement> starts = pool.starts();
        assertThat(starts, hasSize(5));
        Set<Long> runs = new HashSet<>();
        starts.forEach(p -> runs.add(p.run()));
        assertThat(runs, hasSize(1));
    }

    @Test
    void otherGangMembersAreStoppedWhenOneIsRefused() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(3, 1000).gang().build());
        List<Placement> starts = pool.starts();
        pool.answer(starts.get(0), StartAnswer.STARTED);
        pool.answer(starts.get(1), StartAnswer.NO_ROOM);
        pool.answer(starts.get(2), StartAnswer.STARTED);
        assertThat(pool.stops(), hasSize(2));
    }

    @Test
    void submissionWithLeastRemainingWorkComesFirst() {
        pool.worker("w1", "r1");
        TrackedSubmission large = pool.submit(false, step(4, 16_000));
        TrackedSubmission small = pool.submit(false, step(1, 32_000));
        List<Placement> starts = pool.starts();
        assertThat(starts, hasSize(1));
        assertThat(starts.get(0).task().step().submission(), is(small));
        assertThat(large, is(not(small)));
    }

    @Test
    void ordersToUnresponsiveWorkerDoNotHoldUpOthers() {
        WorkerNode unresponsive = pool.worker("w1", "r1");
        pool.submit(false, step(100, 1000));
        List<Placement> lost = pool.starts();
        assertThat(lost, not(empty()));
        assertThat("the window is full", pool.starts(), empty());
        WorkerNode healthy = pool.worker("w2", "r2");
        unresponsive.setUsable(false);
        pool.advance(Duration.ofMillis(300));
        List<Placement> next = pool.starts();
        assertThat(next, not(empty()));
        assertThat(next.get(0).worker(), is(healthy));
        lost.forEach(p -> pool.answer(p, StartAnswer.UNKNOWN));
        pool.advance(Duration.ofMillis(300));
        assertThat("stops of the lost runs", pool.stops(), not(empty()));
        assertThat("the window is full", pool.starts(), empty());
        pool.advance(Duration.ofMillis(300));
        assertThat(pool.starts(), not(empty()));
    }

    @Test
    void opportunisticTasksReserveNoProcessors() {
        pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(3, 32_000).opportunistic().build());
        assertThat(pool.starts(), hasSize(3));
    }

    private static Task firstTask(TrackedSubmission submission) {
        return submission.occurrences().get(0).get(0).tasks().get(0);
    }
}
