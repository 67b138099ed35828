package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.RunId;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.junit.jupiter.api.Test;

/**
 * Guards against a task that begins on one worker while another may still carry out a start of it,
 * and against such tasks waiting without a limit or keeping room from others.
 */
class OpenStartsTest {
    private static final Duration LEASE = Duration.ofSeconds(6);

    private final Pool pool = Pool.settled();
    private final OpenStarts starts = pool.scheduler.openStarts();
    private final WorkerNode near = pool.worker("w1", "r1");

    @Test
    void startIsForgottenWhenItCanNoLongerBeCarriedOut() {
        List<Placement> runs = start(step(2, 1000));
        long sent = -OpenStarts.MAX_DELAY.toNanos() / 2;
        starts.onSent(runs.get(0), sent, LEASE);
        starts.onSent(runs.get(1), sent + Duration.ofSeconds(2).toNanos(), LEASE);
        long end = sent + OpenStarts.MAX_DELAY.toNanos();
        assertThat(starts.on(near.id(), end), hasSize(2));
        assertThat(starts.on(near.id(), end + 1), contains(id(runs.get(1))));
        assertThat(starts.on(new WorkerId("other"), end), empty());
        starts.removeOld(end + LEASE.toNanos() + 1, time -> false);
        assertThat(starts.isOpen(runs.get(0)), is(true));
        starts.removeOld(end + LEASE.toNanos(), time -> true);
        assertThat(starts.isOpen(runs.get(0)), is(true));
        starts.removeOld(end + LEASE.toNanos() + 1, time -> true);
        assertThat(starts.isOpen(runs.get(0)), is(false));
        assertThat(starts.isOpen(runs.get(1)), is(true));
    }

    @Test
    void startIsOpenUntilEachOfItsCallsIsAnswered() {
        Placement run = start(step(1, 1000)).get(0);
        starts.onSent(run, pool.now(), LEASE);
        starts.onSent(run, pool.now(), LEASE);
        starts.onSettled(run);
        assertThat(starts.isOpen(run), is(true));
        starts.onSettled(run);
        assertThat(starts.isOpen(run), is(false));
    }

    @Test
    void reportShowsThatAStartWasNotCarriedOutOnlyIfItWasRequestedLater() {
        Placement run = start(step(1, 1000)).get(0);
        starts.onSent(run, pool.now(), LEASE);
        long last = pool.now() + OpenStarts.MAX_DELAY.toNanos();
        starts.onReport(near.id(), Set.of(), last);
        starts.onReport(near.id(), Set.of(id(run)), last + 1);
        assertThat(starts.isOpen(run), is(true));
        starts.onReport(near.id(), Set.of(), last + 1);
        assertThat(starts.isOpen(run), is(false));
    }

    @Test
    void taskWhoseStopWasAnsweredBeginsOnNoOtherWorker() {
        Placement run = start(step(1, 1000)).get(0);
        pool.worker("w2", "r2");
        leaveUnanswered(run);
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(near));
    }

    @Test
    void taskWhoseWorkerDrainsBeginsElsewhereOnceItCanHaveNoRunThere() {
        Placement run = start(step(1, 1000)).get(0);
        WorkerNode other = pool.worker("w2", "r2");
        leaveUnanswered(run);
        near.setDraining(true);
        assertThat(pool.starts(), empty());
        pool.advance(OpenStarts.MAX_DELAY);
        pool.report(near);
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(other));
    }

    @Test
    void taskWhoseWorkerIsGoneForGoodBeginsElsewhere() {
        Placement run = start(step(1, 1000)).get(0);
        WorkerNode other = pool.worker("w2", "r2");
        leaveUnanswered(run);
        pool.scheduler.removeWorker(near);
        assertThat(pool.starts(), empty());
        pool.scheduler.onWorkerGone(near);
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(other));
    }

    @Test
    void attemptAfterAFailureBeginsOnNoOtherWorkerWhileACallOfTheFirstIsOpen() {
        Placement run = start(step(1, 1000)).get(0);
        pool.worker("w2", "r2");
        starts.onSent(run, pool.now(), LEASE);
        pool.answer(run, StartAnswer.STARTED);
        pool.report(near, Pool.end(1, run, Result.FAILED));
        pool.advance(Duration.ofMillis(500));
        assertThat(pool.starts(), empty());
        pool.advance(Duration.ofSeconds(2));
        assertThat(pool.starts().stream().map(Placement::worker).toList(), contains(near));
    }

    @Test
    void boundTaskThatHasNoRoomKeepsNoOtherWorkerFree() {
        Placement run = start(step(1, 20_000)).get(0);
        leaveUnanswered(run);
        near.setDraining(true);
        WorkerNode other = pool.worker("w2", "r2");
        pool.submit(false, step(16, 1000));
        List<Placement> begun = pool.starts();
        assertThat(begun, hasSize(16));
        assertThat(begun.stream().map(Placement::worker).toList(), everyItem(is(other)));
    }

    @Test
    void boundTaskThatHasNoRoomDoesNotKeepTheOthersOfItsStepFromBeginning() {
        List<Placement> runs = start(step(3, 1000));
        pool.answer(runs.get(1), StartAnswer.NO_ROOM);
        pool.answer(runs.get(2), StartAnswer.NO_ROOM);
        leaveUnanswered(runs.get(0));
        near.setDraining(true);
        pool.worker("w2", "r2");
        pool.advance(Duration.ofMillis(200));
        assertThat(tasks(pool.starts()), contains(runs.get(1).task(), runs.get(2).task()));
    }

    @Test
    void gangWithABoundMemberKeepsNoWorkerFreeWhileItCannotRun() {
        List<Placement> runs = start(new StepBuilder(2, 20_000).maxPerWorker(1).gang().build());
        assertThat(runs, empty());
        WorkerNode second = pool.worker("w2", "r2");
        List<Placement> members = pool.starts();
        assertThat(members, hasSize(2));
        members.forEach(this::leaveUnanswered);
        near.setDraining(true);
        WorkerNode third = pool.worker("w3", "r3");
        pool.submit(false, step(16, 4000));
        List<Placement> begun = pool.starts();
        assertThat(begun, hasSize(16));
        assertThat(
                begun.stream().map(Placement::worker).toList(),
                everyItem(in(List.of(second, third))));
    }

    @Test
    void longRunningTaskStaysOnItsDrainingWorkerWhileItCouldBeginNowhereElse() {
        Placement run = start(new StepBuilder(1, 1000).longRunning(1).build()).get(0);
        pool.worker("w2", "r2");
        starts.onSent(run, pool.now(), LEASE);
        pool.answer(run, StartAnswer.STARTED);
        pool.report(near);
        near.setDraining(true);
        assertThat(pool.stops(), empty());
        starts.onSettled(run);
        assertThat(pool.stops(), hasSize(1));
    }

    @Test
    void suspectIsIsolatedOnNoOtherWorker() {
        for (int i = 2; i < 5; i++) {
            pool.worker("w" + i, "r" + i);
        }
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        Placement run = pool.startAll().get(0);
        WorkerNode worker = run.worker();
        starts.onSent(run, pool.now(), LEASE);
        pool.advance(Duration.ofMillis(10));
        pool.scheduler.onConnectionLost(worker, pool.now());
        pool.scheduler.removeWorker(worker);
        pool.starts();
        submission.setStored(submission.changes(), submission.outcome());
        assertThat(pool.starts(), empty());
        pool.scheduler.onWorkerGone(worker);
        pool.starts();
        submission.setStored(submission.changes(), submission.outcome());
        assertThat(pool.starts(), hasSize(1));
    }

    @Test
    void copyBeginsOnAnotherWorkerWhileACallForTheFirstRunIsOpen() {
        StepSpec spec = new StepBuilder(1, 1000).speculative().build();
        Placement run = start(spec).get(0);
        pool.worker("w2", "r2");
        starts.onSent(run, pool.now(), LEASE);
        assertThat(starts.boundTo(run.task()).isPresent(), is(false));
        assertThat(starts.on(near.id(), pool.now()), not(empty()));
    }

    private List<Placement> start(StepSpec spec) {
        pool.submit(false, spec);
        return pool.starts();
    }

    /** Plays a start without an answer until its absence is certain for this incarnation. */
    private void leaveUnanswered(Placement run) {
        starts.onSent(run, pool.now(), LEASE);
        pool.answer(run, StartAnswer.UNKNOWN);
        pool.stops();
        pool.scheduler.onStopAnswer(run, true, pool.now());
        List<Placement> others = run.worker().placements().stream().filter(p -> p != run).toList();
        pool.list(run.worker(), others.stream().map(Pool::run).toList());
    }

    private static List<Task> tasks(List<Placement> runs) {
        return runs.stream().map(Placement::task).toList();
    }

    private static RunId id(Placement run) {
        return new RunId(run.task().id(), run.run());
    }
}
