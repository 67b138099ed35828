package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.run;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskRun;
import org.junit.jupiter.api.Test;

/** How long-running tasks are kept available, moved and restarted. */
class LongRunningTasksTest {
    private final Pool pool = Pool.settled();

    /** Guards against a service that stays down because its program has ended by itself. */
    @Test
    void longRunningTaskIsRestartedHoweverItEnds() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission =
                pool.submit(false, new StepBuilder(1, 1000).longRunning(0).build());
        int number = 0;
        for (Result result : Result.values()) {
            pool.advance(Duration.ofMillis(200));
            List<Placement> starts = pool.startAll();
            assertThat(result.name(), starts, hasSize(1));
            pool.report(worker, end(++number, starts.get(0), result));
            assertThat(submission.visibleState(), is(SubmissionState.RUNNING));
        }
        pool.advance(Duration.ofMillis(200));
        assertThat(pool.starts(), hasSize(1));
    }

    /** Guards against a busy loop of starts, and against a pause longer than the rules allow. */
    @Test
    void longRunningTaskThatEndsAtOnceIsRestartedAfterGrowingPauses() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).longRunning(0).build());
        List<Long> pauses = new ArrayList<>();
        long ended = pool.now();
        for (int i = 1; i <= 12; i++) {
            List<Placement> starts = pool.startAll();
            while (starts.isEmpty()) {
                assertThat("waits", pool.now() - ended, lessThan(6_000_000_000L));
                pool.advance(Duration.ofMillis(10));
                starts = pool.startAll();
            }
            pauses.add(Duration.ofNanos(pool.now() - ended).toMillis());
            pool.advance(Duration.ofMillis(10));
            pool.report(worker, end(i, starts.get(0), Result.DONE));
            ended = pool.now();
        }
        assertThat(pauses.get(6), greaterThan(4 * pauses.get(2)));
        assertThat(pauses.get(11), lessThanOrEqualTo(2000L));
    }

    /** Guards against a task that stays down because an earlier release has stored it as done. */
    @Test
    void longRunningTaskThatIsStoredAsDoneIsRestarted() {
        pool.worker("w1", "r1");
        TrackedSubmission submission =
                pool.submit(true, new StepBuilder(1, 1000).longRunning(0).build());
        TrackedStep step = submission.occurrences().get(0).get(0);
        assertThat(submission.complete(step, step.tasks().get(0)), is(false));
        assertThat(submission.isAllDone(), is(false));
        assertThat(pool.startAll(), hasSize(1));
    }

    /** Guards against a step that begins because the program of a service before it has ended. */
    @Test
    void stepAfterALongRunningOneDoesNotBegin() {
        WorkerNode worker = pool.worker("w1", "r1");
        StepSpec service = new StepBuilder(1, 1000).longRunning(0).build();
        TrackedSubmission submission =
                pool.submit(false, service, new StepBuilder(1, 1000).after(0).build());
        Placement start = pool.startAll().get(0);
        pool.report(worker, end(1, start, Result.DONE));
        pool.advance(Duration.ofMillis(200));
        Placement next = pool.startAll().get(0);
        assertThat(next.task(), is(start.task()));
        assertThat(submission.outcome(), is(SubmissionState.QUEUED));
    }

    /** Guards against a task that is started again after its submission was cancelled. */
    @Test
    void longRunningTaskThatEndsWhileItIsCancelledStaysDown() {
        WorkerNode worker = pool.worker("w1", "r1");
        TrackedSubmission submission =
                pool.submit(false, new StepBuilder(1, 1000).longRunning(0).build());
        Placement start = pool.startAll().get(0);
        pool.scheduler.cancel(submission, pool.wall());
        pool.report(worker, end(1, start, Result.DONE));
        pool.advance(Duration.ofSeconds(3));
        assertThat(pool.startAll(), empty());
        assertThat(submission.outcome(), is(SubmissionState.CANCELLED));
    }

    @Test
    void evacuatingWorkerLosesLongRunningTasksWithinBudget() {
        WorkerNode leaving = pool.worker("w1", "r1");
        StepBuilder stepOfTwo = new StepBuilder(2, 1000).longRunning(1).maxPerWorker(2);
        pool.submit(false, stepOfTwo.build());
        assertThat(pool.startAll(), hasSize(2));
        pool.report(leaving);
        WorkerNode other = pool.worker("w2", "r2");
        leaving.setEvacuating(true);
        assertThat("one of two may be unavailable", pool.stops(), hasSize(1));
        assertThat(pool.stops(), empty());
        assertThat(other.placements(), empty());
    }

    /** Guards against several tasks that stop for the same room, so that all but one wait. */
    @Test
    void roomForOneTaskLetsOnlyOneLeave() {
        WorkerNode leaving = pool.worker("w1", "r1");
        StepBuilder step = new StepBuilder(2, 1000).longRunning(2).maxPerWorker(2);
        pool.submit(false, step.memoryMb(60_000).build());
        assertThat(pool.startAll(), hasSize(2));
        pool.report(leaving);
        WorkerNode small = pool.worker("w2", "r2");
        pool.submit(false, new StepBuilder(1, 1000).memoryMb(60_000).longRunning(0).build());
        assertThat(pool.startAll(), hasSize(1));
        pool.report(small);
        leaving.setEvacuating(true);
        assertThat(pool.stops(), hasSize(1));
        assertThat(pool.stops(), empty());
    }

    /** Guards against a batch task that takes the room for which a task was stopped. */
    @Test
    void roomOfATaskThatStopsIsKeptForIt() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 20_000).longRunning(1).build());
        assertThat(pool.startAll(), hasSize(1));
        pool.report(leaving);
        WorkerNode other = pool.worker("w2", "r2");
        leaving.setEvacuating(true);
        Placement stopped = pool.stops().get(0).placement().orElseThrow();
        assertThat(other.expectedTasks(), is(1));
        pool.submit(false, new StepBuilder(1, 20_000).build());
        assertThat(pool.startAll(), empty());
        pool.scheduler.onStopAnswer(stopped, true, pool.now());
        pool.report(leaving, end(1, stopped, Result.STOPPED));
        pool.advance(Duration.ofMillis(200));
        Placement started = pool.startAll().get(0);
        assertThat(started.task(), is(stopped.task()));
        assertThat(started.worker(), is(other));
        assertThat(other.expectedTasks(), is(0));
    }

    /** Guards against room that is kept for good if the stop of a task gets no answer. */
    @Test
    void roomIsNotKeptLongerThanAStopTakes() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 20_000).longRunning(1).build());
        pool.startAll();
        pool.report(leaving);
        pool.worker("w2", "r2");
        leaving.setEvacuating(true);
        assertThat(pool.stops(), hasSize(1));
        pool.submit(false, new StepBuilder(1, 20_000).build());
        pool.advance(Duration.ofSeconds(3));
        assertThat(pool.startAll(), hasSize(1));
    }

    /** Guards against a start on a worker that has left the pool. */
    @Test
    void roomOnAWorkerThatIsGoneIsNotUsed() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 20_000).longRunning(1).build());
        pool.startAll();
        pool.report(leaving);
        WorkerNode other = pool.worker("w2", "r2");
        leaving.setEvacuating(true);
        Placement stopped = pool.stops().get(0).placement().orElseThrow();
        pool.scheduler.removeWorker(other);
        pool.scheduler.onStopAnswer(stopped, true, pool.now());
        pool.report(leaving, end(1, stopped, Result.STOPPED));
        pool.advance(Duration.ofMillis(200));
        assertThat(pool.startAll(), empty());
        WorkerNode third = pool.worker("w3", "r3");
        assertThat(pool.startAll().get(0).worker(), is(third));
    }

    @Test
    void newOwnerMovesNoLongRunningTaskWhileStopsOfFormerOwnerTakeEffect() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(2, 1000).longRunning(1).maxPerWorker(2).build());
        assertThat(pool.startAll(), hasSize(2));
        pool.report(leaving);
        pool.worker("w2", "r2");
        pool.scheduler.holdEvacuationsUntil(pool.now() + Duration.ofMillis(1500).toNanos());
        leaving.setEvacuating(true);
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(1500));
        assertThat(pool.stops(), hasSize(1));
    }

    @Test
    void tasksOnSilentWorkerCountAsUnavailable() {
        StepBuilder stepOfTwo = new StepBuilder(2, 1000).longRunning(1).maxPerWorker(1);
        WorkerNode leaving = pool.worker("w1", "r1");
        WorkerNode silent = pool.worker("w2", "r2");
        pool.submit(false, stepOfTwo.build());
        assertThat(pool.startAll(), hasSize(2));
        pool.report(leaving);
        pool.report(silent);
        pool.worker("w3", "r3");
        silent.setSilent(true);
        leaving.setEvacuating(true);
        assertThat(pool.stops(), empty());
        silent.setSilent(false);
        assertThat(pool.stops(), hasSize(1));
    }

    @Test
    void runWithStopOrderOnItsWayCountsAsUnavailable() {
        pool.worker("w1", "r1");
        pool.worker("w2", "r2");
        pool.submit(false, new StepBuilder(2, 1000).longRunning(1).maxPerWorker(1).build());
        List<Placement> starts = pool.starts();
        Placement unanswered = starts.get(0);
        Placement other = starts.get(1);
        pool.answer(unanswered, StartAnswer.UNKNOWN);
        pool.answer(other, StartAnswer.STARTED);
        pool.list(unanswered.worker(), List.of());
        assertThat(pool.stops(), hasSize(1));
        pool.list(unanswered.worker(), List.of(run(unanswered)));
        pool.report(other.worker());
        pool.worker("w3", "r3");
        other.worker().setEvacuating(true);
        assertThat(pool.stops(), empty());
    }

    @Test
    void unansweredStartOfLongRunningTaskIsNotStoppedIfWorkerReportsRun() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        Placement unanswered = pool.starts().get(0);
        pool.answer(unanswered, StartAnswer.UNKNOWN);
        assertThat("the run may be at work", pool.stops(), empty());
        pool.list(worker, List.of(run(unanswered)));
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofSeconds(5));
        assertThat(pool.stops(), empty());
    }

    @Test
    void lateReportsOfLongRunningTaskAreNotTakenForAStall() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        Placement placement = pool.startAll().get(0);
        pool.list(worker, List.of(new TaskRun(placement.task().id(), placement.run(), "", 0, 0)));
        pool.advance(Duration.ofSeconds(3));
        assertThat("no report since", pool.stops(), empty());
        pool.report(worker);
        assertThat(pool.stops(), empty());
    }

    @Test
    void tasksStayOnEvacuatingWorkerWithoutRoomElsewhere() {
        WorkerNode leaving = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        pool.startAll();
        pool.report(leaving);
        leaving.setEvacuating(true);
        assertThat(pool.stops(), empty());
    }

    @Test
    void longRunningTaskThatDoesNotReachFullShareIsStopped() {
        WorkerNode hung = pool.worker("w1", "r1");
        pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        Placement placement = pool.startAll().get(0);
        TaskRun idle = new TaskRun(placement.task().id(), placement.run(), "", 0, 0);
        pool.list(hung, List.of(idle));
        pool.advance(Duration.ofMillis(1500));
        pool.list(hung, List.of(idle));
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(1500));
        pool.list(hung, List.of(idle));
        assertThat(pool.stops(), hasSize(1));
    }
}
