package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.run;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskRun;
import org.junit.jupiter.api.Test;

/** Second runs of slow tasks, where 3 of 100 tasks take seven times as long as the others. */
class CopyPlannerTest {
    private final Pool pool = Pool.settled();
    private final Map<WorkerNode, Integer> ends = new HashMap<>();
    private final WorkerNode first = pool.worker("w1", "r1");
    private final WorkerNode near = pool.worker("w2", "r1");
    private final WorkerNode far = pool.worker("w3", "r2");

    @Test
    void slowTaskGetsOneCopyInAnotherRack() {
        Placement slow = slowRun(speculative());
        List<Placement> copies = pool.startAll();
        assertThat(copies, hasSize(1));
        Placement copy = copies.get(0);
        assertThat(copy.task(), is(slow.task()));
        assertThat(copy.worker(), is(far));
        assertThat(copy.run(), greaterThan(slow.run()));
        double remaining = copy.copyReason().orElseThrow().remainingMillis();
        assertThat(remaining, greaterThan(copy.copyReason().orElseThrow().newMillis()));
        pool.advance(Duration.ofSeconds(3));
        assertThat("at most two runs", pool.starts(), empty());
    }

    /** Guards the rule that a task has one run unless its step allows overlapping ones. */
    @Test
    void taskOfOtherStepsNeverHasTwoRuns() {
        List<StepSpec> steps =
                List.of(
                        step(1, 1000),
                        new StepBuilder(1, 1000).speculative().gang().build(),
                        new StepBuilder(1, 1000).speculative().longRunning(1).build(),
                        new StepBuilder(1, 1000).speculative().opportunistic().build());
        recordRuns();
        for (StepSpec spec : steps) {
            pool.submit(false, spec);
        }
        List<Placement> runs = pool.startAll();
        assertThat(runs, hasSize(4));
        pool.advance(Duration.ofSeconds(4));
        reportAll();
        assertThat(pool.starts(), empty());
        for (Placement active : runs) {
            WorkerNode other = active.worker() == far ? near : far;
            pool.list(other, List.of(copyOf(active, 50)));
            assertThat(active.task().placements(), hasSize(1));
            assertThat(pool.stops().stream().map(Order.Stop::run).toList(), contains(50L));
        }
    }

    /** A worker that stands still may not prove the end of its run for long. */
    @Test
    void runThatIsBeingStoppedMayHaveACopy() {
        near.setDraining(true);
        far.setDraining(true);
        Placement stalled = slowRun(speculative());
        pool.advance(Duration.ofSeconds(12));
        reportAll();
        assertThat(pool.stops(), hasSize(1));
        far.setDraining(false);
        List<Placement> copies = pool.starts();
        assertThat(copies, hasSize(1));
        assertThat(stalled.task().placements(), contains(stalled, copies.get(0)));
    }

    @Test
    void runAsLongAsOthersGetsNoCopy() {
        recordRuns();
        pool.submit(false, speculative());
        pool.startAll();
        pool.advance(Duration.ofMillis(900));
        reportAll();
        assertThat(pool.starts(), empty());
    }

    @Test
    void noCopyWhileATaskWaitsOrThePoolIsFull() {
        recordRuns();
        Placement slow = start(speculative());
        WorkerNode[] workers = {first, near, far};
        for (WorkerNode worker : workers) {
            int cores = worker == slow.worker() ? 30_000 : 31_000;
            pool.submit(false, step(1, cores));
        }
        assertThat(pool.startAll(), hasSize(3));
        TrackedSubmission waiting = pool.submit(false, step(1, 20_000));
        pool.advance(Duration.ofSeconds(3));
        reportAll();
        assertThat("a task waits", pool.starts(), empty());
        pool.scheduler.cancel(waiting, pool.wall());
        assertThat("the pool is nearly full", pool.starts(), empty());
    }

    /** A task that no worker can take would else keep all others from getting copies. */
    @Test
    void taskThatFitsNoWorkerDoesNotPreventCopies() {
        slowRun(speculative());
        pool.submit(false, step(1, 64_000));
        assertThat(pool.startAll(), hasSize(1));
    }

    @Test
    void copiesUseOnlyASmallShareOfThePool() {
        recordRuns();
        for (int i = 0; i < 12; i++) {
            pool.submit(false, speculative());
        }
        assertThat(pool.startAll(), hasSize(12));
        pool.advance(Duration.ofSeconds(3));
        reportAll();
        List<Placement> copies = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            copies.addAll(pool.startAll());
        }
        assertThat("of 96 cores", copies.size(), is(4));
    }

    @Test
    void firstEndCompletesTaskAndOtherRunHoldsItsRoomUntilItsEndIsProved() {
        Placement slow = slowRun(speculative());
        Placement copy = pool.startAll().get(0);
        pool.advance(Duration.ofMillis(1000));
        report(copy, Result.DONE);
        assertThat(slow.task().step().submission().outcome(), is(SubmissionState.COMPLETED));
        List<Order.Stop> stops = pool.stops();
        assertThat(stops, hasSize(1));
        assertThat(stops.get(0).run(), is(slow.run()));
        assertThat(stops.get(0).reason(), is(StopReason.OTHER_RUN_DONE));
        assertThat(first.free().milliCores(), is(31_000L));
        assertThat(
                pool.scheduler.takeNotices(),
                contains(new Notice.CopyDecided(copy.task().id(), copy.run(), far.id(), true)));
        pool.scheduler.onStopAnswer(slow, true, pool.now());
        report(slow, Result.DONE);
        assertThat("late end of the other run", pool.plan(), empty());
        assertThat(slow.task().step().submission().outcome(), is(SubmissionState.COMPLETED));
        assertThat(first.free().milliCores(), is(32_000L));
        assertThat(pool.scheduler.takeNotices(), empty());
    }

    @Test
    void ifOneRunFailsTheOtherGoesOn() {
        Placement slow = slowRun(speculative());
        Placement copy = pool.startAll().get(0);
        report(copy, Result.FAILED);
        assertThat(slow.task().failedRuns(), hasSize(1));
        assertThat(slow.task().placements(), contains(slow));
        report(slow, Result.DONE);
        assertThat(slow.task().step().submission().outcome(), is(SubmissionState.COMPLETED));
    }

    @Test
    void submissionFailsOnlyWhenAttemptsAreUsedUpAndNoRunIsLeft() {
        Placement slow = slowRun(speculative());
        Placement copy = pool.startAll().get(0);
        Task task = slow.task();
        task.restore(List.of(500L, 501L), "");
        report(copy, Result.FAILED);
        pool.advance(Duration.ofMillis(200));
        assertThat("no further run", pool.starts(), empty());
        assertThat(task.step().submission().outcome(), is(SubmissionState.QUEUED));
        pool.scheduler.removeWorker(first);
        assertThat(pool.starts(), empty());
        assertThat(task.step().submission().outcome(), is(SubmissionState.FAILED));
    }

    @Test
    void unansweredStartOfCopyIsStoppedAndBlocksAnother() {
        Placement slow = slowRun(speculative());
        Placement copy = pool.starts().get(0);
        pool.answer(copy, StartAnswer.UNKNOWN);
        assertThat(pool.stops().stream().map(Order.Stop::run).toList(), contains(copy.run()));
        pool.scheduler.onStopAnswer(copy, true, pool.now());
        pool.advance(Duration.ofMillis(200));
        reportAllBut(far);
        assertThat(pool.starts(), empty());
        pool.list(far, List.of());
        assertThat("its end is proved", pool.starts().get(0).run(), greaterThan(copy.run()));
        assertThat(slow.phase(), is(Placement.Phase.RUNNING));
    }

    @Test
    void drainOrEvacuationOfOneWorkerLeavesBothRuns() {
        Placement slow = slowRun(speculative());
        near.setEvacuating(true);
        far.setDraining(true);
        assertThat("no worker takes a copy", pool.starts(), empty());
        near.setEvacuating(false);
        Placement copy = pool.startAll().get(0);
        assertThat(copy.worker(), is(near));
        first.setDraining(true);
        near.setEvacuating(true);
        reportAll();
        assertThat(pool.plan(), empty());
        assertThat(slow.task().placements(), contains(slow, copy));
    }

    @Test
    void rebirthOfOneWorkerLeavesTheOtherRun() {
        Placement slow = slowRun(speculative());
        Placement copy = pool.startAll().get(0);
        pool.report(far);
        assertThat(pool.scheduler.incarnationEnded(far), is(false));
        WorkerNode next = pool.worker("w3", "r2");
        pool.scheduler.addNextIncarnation(far, next, pool.now());
        assertThat(slow.task().placements(), contains(slow));
        pool.list(next, List.of());
        assertThat(pool.starts().get(0).run(), greaterThan(copy.run()));
    }

    @Test
    void newOwnerAdoptsTwoRunsAndStopsAThird() {
        Pool next = new Pool(2);
        WorkerNode[] workers = {
            next.worker("w1", "r1"), next.worker("w2", "r2"), next.worker("w3", "r3")
        };
        Task task = next.submit(true, speculative()).occurrences().get(0).get(0).tasks().get(0);
        for (int i = 0; i < 3; i++) {
            next.list(workers[i], List.of(new TaskRun(task.id(), 4 + i, "", 100, 0)));
        }
        next.scheduler.setSettled();
        assertThat(task.placements(), hasSize(2));
        List<Order> orders = next.plan();
        assertThat(orders, hasSize(1));
        Order.Stop stop = (Order.Stop) orders.get(0);
        assertThat(stop.run(), is(6L));
        assertThat(stop.reason(), is(StopReason.UNWANTED));
    }

    /** Guards against a submission that neither runs nor fails after a take-over. */
    @Test
    void newOwnerFailsSubmissionWhoseAttemptsAreUsedUp() {
        Pool next = new Pool(2);
        WorkerNode worker = next.worker("w1", "r1");
        TrackedSubmission stored = next.submit(true, speculative());
        next.scheduler.remove(stored);
        Task task = stored.occurrences().get(0).get(0).tasks().get(0);
        task.restore(List.of(4L, 5L, 6L), "");
        next.scheduler.add(stored);
        next.list(worker, List.of(new TaskRun(task.id(), 7, "", 100, 0)));
        next.scheduler.setSettled();
        assertThat("a run is left", next.starts(), empty());
        assertThat(stored.outcome(), is(SubmissionState.QUEUED));
        next.list(worker, List.of());
        next.plan();
        assertThat(stored.outcome(), is(SubmissionState.FAILED));
    }

    /** Guards against two runs of a task on one worker, of which it would track only one. */
    @Test
    void secondRunOnTheSameWorkerIsUnwanted() {
        Placement slow = start(speculative());
        pool.list(slow.worker(), List.of(run(slow), copyOf(slow, 50)));
        assertThat(slow.task().placements(), contains(slow));
        assertThat(pool.stops().stream().map(Order.Stop::run).toList(), contains(50L));
    }

    @Test
    void checkpointOfCopyIsIgnoredWhileFirstRunIsActive() {
        Placement slow = slowRun(new StepBuilder(1, 1000).speculative().checkpointing().build());
        Placement copy = pool.startAll().get(0);
        pool.list(first, List.of(new TaskRun(slow.task().id(), slow.run(), "most", 100, 0)));
        pool.list(far, List.of(new TaskRun(slow.task().id(), copy.run(), "little", 100, 0)));
        assertThat(slow.task().checkpoint(), is("most"));
    }

    @Test
    void limitPerWorkerHoldsForCopies() {
        recordRuns();
        pool.submit(false, new StepBuilder(2, 1000).speculative().maxPerWorker(1).build());
        far.setDraining(true);
        assertThat(pool.startAll(), hasSize(2));
        pool.advance(Duration.ofSeconds(3));
        reportAll();
        assertThat("the other worker has a task of the step", pool.starts(), empty());
        far.setDraining(false);
        List<Placement> copies = pool.startAll();
        assertThat(copies, hasSize(1));
        assertThat(copies.get(0).worker(), is(far));
        assertThat(pool.starts(), empty());
    }

    private Placement slowRun(StepSpec spec) {
        recordRuns();
        Placement slow = start(spec);
        pool.advance(Duration.ofMillis(2500));
        reportAll();
        return slow;
    }

    private Placement start(StepSpec spec) {
        pool.submit(false, spec);
        return pool.startAll().get(0);
    }

    private static StepSpec speculative() {
        return new StepBuilder(1, 1000).speculative().build();
    }

    private static TaskRun copyOf(Placement placement, long run) {
        return new TaskRun(placement.task().id(), run, "", 100, 0);
    }

    private void report(Placement placement, Result result) {
        WorkerNode worker = placement.worker();
        pool.report(worker, end(ends.merge(worker, 1, Integer::sum), placement, result));
    }

    private void reportAll() {
        pool.scheduler.workers().forEach(pool::report);
    }

    private void reportAllBut(WorkerNode left) {
        pool.scheduler.workers().stream().filter(w -> w != left).forEach(pool::report);
    }

    /** Completes 200 runs of 1 s, of which 3 in 100 take 7 s, on the first worker. */
    private void recordRuns() {
        for (int i = 0; i < 200; i++) {
            Placement placement = start(step(1, 1000));
            pool.advance(Duration.ofMillis(i % 100 < 50 || i % 100 > 52 ? 1000 : 7000));
            report(placement, Result.DONE);
        }
    }
}
