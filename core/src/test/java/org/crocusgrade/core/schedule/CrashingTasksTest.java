package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.schedule.CrashHistory.Crash;
import org.crocusgrade.core.schedule.CrashHistory.Kind;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.junit.jupiter.api.Test;

/**
 * Workers crash under their runs. Guards against a task that crashes its workers being started
 * without end, and against innocent tasks being given up or crashed again and again beside it.
 */
class CrashingTasksTest {
    private static final Duration RIGHT_AFTER_START = Duration.ofMillis(10);
    private static final Duration LATER = Duration.ofMillis(800);
    private static final Duration DOWN = Duration.ofSeconds(4);

    private final Pool pool = Pool.settled();
    private final Map<WorkerNode, Long> lastEnds =
            new TreeMap<>((a, b) -> a.id().compareTo(b.id()));
    private int workers;

    @Test
    void taskThatCrashesItsWorkersIsGivenUpAfterThreeCrashes() {
        addWorkers(6);
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        int starts = playUntilEnd(deadly);
        assertThat(deadly.outcome(), is(SubmissionState.FAILED));
        assertThat(starts, lessThanOrEqualTo(3));
    }

    @Test
    void taskThatCrashesItsWorkersLateIsGivenUpWithinFiveStarts() {
        addWorkers(6);
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        int starts = 0;
        Optional<Placement> run = startUnlessEnded(deadly);
        while (run.isPresent()) {
            assertThat(++starts, lessThanOrEqualTo(5));
            pool.advance(LATER);
            pool.report(run.get().worker());
            crash(run.get().worker());
            run = startUnlessEnded(deadly);
        }
        assertThat(deadly.outcome(), is(SubmissionState.FAILED));
    }

    @Test
    void neighboursOfACrashRunOnAndAreNotGivenUp() {
        addWorkers(6);
        List<TrackedSubmission> neighbours = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            neighbours.add(pool.submit(false, step(2, 1500)));
        }
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        playUntilEnd(deadly);
        finishAll();
        for (TrackedSubmission neighbour : neighbours) {
            assertThat(neighbour.outcome(), is(SubmissionState.COMPLETED));
        }
    }

    @Test
    void onlyTheFirstCrashTakesRunsThatHadJustBegunAlong() {
        addWorkers(8);
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        int crashes = 0;
        Optional<Placement> run = startUnlessEnded(deadly);
        while (run.isPresent()) {
            int others = run.get().worker().placements().size() - 1;
            if (crashes++ > 0) {
                assertThat("neighbours of crash " + crashes, others, lessThanOrEqualTo(3));
            }
            pool.advance(RIGHT_AFTER_START);
            crash(run.get().worker());
            pool.submit(false, step(12, 1500));
            run = startUnlessEnded(deadly);
        }
    }

    @Test
    void suspectsOfSeveralSubmissionsAreNotIsolatedTogether() {
        addWorkers(2);
        pool.submit(false, step(2, 1000));
        pool.submit(false, step(2, 1000));
        List<Placement> first = pool.startAll();
        assertThat(first, hasSize(4));
        pool.advance(RIGHT_AFTER_START);
        crash(first.get(0).worker());
        store();
        for (Placement run : pool.startAll()) {
            for (Placement other : run.worker().placements()) {
                assertThat(other.task().step().submission(), is(run.task().step().submission()));
            }
        }
    }

    @Test
    void tasksOfWorkersThatCrashInBulkAreNotGivenUp() {
        addWorkers(8);
        TrackedSubmission old = pool.submit(false, step(1, 30_000));
        start(old);
        for (int round = 0; round < 6; round++) {
            TrackedSubmission innocent = pool.submit(false, step(3, 20_000));
            pool.startAll();
            pool.advance(Duration.ofSeconds(1));
            List<WorkerNode> hit = busyWorkers();
            TrackedSubmission justBegun = pool.submit(false, step(1, 1000));
            Placement run = start(justBegun);
            assertThat(hit.contains(run.worker()), is(true));
            pool.advance(RIGHT_AFTER_START);
            hit.forEach(w -> pool.scheduler.onConnectionLost(w, pool.now()));
            pool.advance(Duration.ofSeconds(1));
            hit.forEach(this::replace);
            store();
            finishAll();
            assertThat(innocent.outcome(), is(SubmissionState.COMPLETED));
            assertThat(justBegun.outcome(), is(SubmissionState.COMPLETED));
        }
    }

    @Test
    void crashOfAWorkerThatAnswersAgainIsWithdrawn() {
        addWorkers(1);
        TrackedSubmission submission = pool.submit(false, step(1, 1000));
        Placement run = start(submission);
        for (int i = 0; i < 5; i++) {
            pool.advance(RIGHT_AFTER_START);
            pool.scheduler.onConnectionLost(run.worker(), pool.now());
            pool.plan();
            pool.advance(Duration.ofSeconds(1));
            pool.plan();
            pool.report(run.worker());
        }
        assertThat(run.task().crashes().isEmpty(), is(true));
        assertThat(submission.outcome().isFinal(), is(false));
    }

    @Test
    void silenceDrainingAndEvacuationAreNoCrash() {
        WorkerNode silent = addWorkers(1).get(0);
        Placement first = start(pool.submit(false, step(1, 1000)));
        silent.setSilent(true);
        pool.scheduler.clearRuns(silent);
        assertThat(first.task().crashes().isEmpty(), is(true));
        silent.setUsable(false);
        WorkerNode leaving = addWorkers(1).get(0);
        Placement second = start(first.task().step().submission());
        leaving.setDraining(true);
        pool.scheduler.onConnectionLost(leaving, pool.now());
        assertThat(second.task().crashes().isEmpty(), is(true));
        leaving.setDraining(false);
        leaving.setEvacuating(true);
        pool.scheduler.onConnectionLost(leaving, pool.now());
        assertThat(second.task().crashes().isEmpty(), is(true));
    }

    @Test
    void suspectWaitsUntilItsCrashAndItsNextRunAreStored() {
        addWorkers(3);
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        Placement run = start(deadly);
        pool.advance(RIGHT_AFTER_START);
        crash(run.worker());
        assertThat("crash not stored", pool.starts(), empty());
        store();
        assertThat("next run not announced", pool.starts(), empty());
        assertThat("announcement not stored", pool.starts(), empty());
        store();
        assertThat(pool.starts(), hasSize(1));
    }

    @Test
    void crashesOfAnEarlierOwnerCount() {
        addWorkers(6);
        TrackedSubmission deadly = pool.submit(false, step(1, 1000));
        Placement run = start(deadly);
        pool.advance(RIGHT_AFTER_START);
        crash(run.worker());
        Pool next = new Pool(2);
        next.worker("x1", "r1");
        next.worker("x2", "r1");
        TrackedSubmission inherited = next.submit(true, step(1, 1000));
        Task task = inherited.occurrences().get(0).get(0).tasks().get(0);
        run.task().crashes().crashes().forEach(task.crashes()::put);
        task.crashes().put(new Crash(2, Kind.SOLE));
        task.crashes().put(new Crash(3, Kind.SOLE));
        next.scheduler.remove(inherited);
        next.scheduler.add(inherited);
        assertThat(next.starts(), empty());
        next.scheduler.setSettled();
        assertThat(next.starts(), empty());
        assertThat(inherited.outcome(), is(SubmissionState.FAILED));
    }

    @Test
    void gangThatCrashesItsWorkersIsGivenUp() {
        addWorkers(8);
        TrackedSubmission gang = pool.submit(false, new StepBuilder(3, 20_000).gang().build());
        int starts = 0;
        List<Placement> members = pool.startAll();
        while (!gang.outcome().isFinal()) {
            assertThat(members, hasSize(3));
            assertThat(++starts, lessThanOrEqualTo(3));
            pool.advance(RIGHT_AFTER_START);
            crash(members.get(0).worker());
            for (Placement member : members.subList(1, 3)) {
                end(member, Result.BROKEN);
            }
            store();
            pool.advance(Duration.ofMillis(100));
            members = pool.startAll();
        }
    }

    @Test
    void suspectGetsNoCopy() {
        addWorkers(6);
        TrackedSubmission deadly =
                pool.submit(false, new StepBuilder(1, 1000).speculative().build());
        int starts = playUntilEnd(deadly);
        assertThat(starts, lessThanOrEqualTo(3));
    }

    @Test
    void longRunningTaskIsNotGivenUpForCrashesOverALongTime() {
        addWorkers(10);
        TrackedSubmission lasting =
                pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        for (int i = 0; i < 8; i++) {
            Placement run = start(lasting);
            pool.report(run.worker());
            pool.advance(Duration.ofSeconds(20));
            pool.report(run.worker());
            crash(run.worker());
        }
        assertThat(lasting.outcome().isFinal(), is(false));
    }

    /**
     * Guards against a service that is ended because its workers have crashed for reasons of their
     * own: a long-running task is started again however it ends, and its crashes cost nobody else.
     */
    @Test
    void longRunningTaskWhoseWorkersCrashIsStartedAgainInIsolation() {
        addWorkers(6);
        TrackedSubmission lasting =
                pool.submit(false, new StepBuilder(1, 1000).longRunning(1).build());
        for (int i = 0; i < 30; i++) {
            TrackedSubmission neighbour = pool.submit(false, step(1, 1000));
            Placement run = start(lasting);
            assertThat("crash " + i, run.isIsolated(), is(i > 0));
            pool.advance(RIGHT_AFTER_START);
            crash(run.worker());
            assertThat(lasting.outcome().isFinal(), is(false));
            assertThat(run.task().crashes().size(), lessThanOrEqualTo(8));
            assertThat(neighbour.outcome(), is(not(SubmissionState.FAILED)));
        }
        Placement last = start(lasting);
        pool.report(last.worker());
        pool.advance(Duration.ofSeconds(11));
        pool.report(last.worker());
        assertThat("at work again", last.task().crashes().isEmpty(), is(true));
        assertThat(lasting.visibleState(), is(SubmissionState.RUNNING));
    }

    /** Guards against a service that stays down since an owner before has counted its crashes. */
    @Test
    void longRunningTaskWhoseCrashesAreStoredIsStartedAgain() {
        addWorkers(2);
        TrackedSubmission inherited =
                pool.submit(true, new StepBuilder(1, 1000).longRunning(1).build());
        Task task = inherited.occurrences().get(0).get(0).tasks().get(0);
        for (int run = 1; run <= 5; run++) {
            task.crashes().put(new Crash(run, Kind.SOLE));
            task.recordRun(run);
        }
        pool.scheduler.add(inherited);
        assertThat(start(inherited).task(), is(task));
        assertThat(inherited.outcome().isFinal(), is(false));
    }

    private List<WorkerNode> addWorkers(int count) {
        List<WorkerNode> added = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            added.add(pool.worker("w" + ++workers, "r" + workers % 3));
        }
        return added;
    }

    private Placement start(TrackedSubmission submission) {
        return startUnlessEnded(submission).orElseThrow();
    }

    /**
     * Starts all tasks that may start until one of a submission does, and returns its run; empty if
     * the submission ends.
     */
    private Optional<Placement> startUnlessEnded(TrackedSubmission submission) {
        for (int i = 0; i < 200; i++) {
            store();
            for (Placement run : pool.startAll()) {
                if (run.task().step().submission() == submission) {
                    return Optional.of(run);
                }
            }
            if (submission.outcome().isFinal()) {
                return Optional.empty();
            }
            pool.advance(Duration.ofMillis(50));
            if (i % 10 == 9) {
                finishOldRuns();
            }
        }
        throw new AssertionError("no task of " + submission.id() + " starts");
    }

    /** Lets a submission crash each of its workers; returns how often it was started. */
    private int playUntilEnd(TrackedSubmission deadly) {
        int starts = 0;
        Optional<Placement> run = startUnlessEnded(deadly);
        while (run.isPresent() && ++starts < 10) {
            pool.advance(RIGHT_AFTER_START);
            crash(run.get().worker());
            run = startUnlessEnded(deadly);
        }
        return starts;
    }

    /** Lets a worker crash; another one joins once it is certain that the worker has ended. */
    private void crash(WorkerNode worker) {
        pool.scheduler.onConnectionLost(worker, pool.now());
        pool.advance(Duration.ofMillis(600));
        pool.startAll();
        pool.advance(DOWN);
        replace(worker);
    }

    private void replace(WorkerNode worker) {
        pool.scheduler.removeWorker(worker);
        addWorkers(1);
    }

    private List<WorkerNode> busyWorkers() {
        return pool.scheduler.workers().stream().filter(w -> !w.placements().isEmpty()).toList();
    }

    /** Records that the store has acknowledged all changes. */
    private void store() {
        for (TrackedSubmission submission : pool.scheduler.submissions()) {
            submission.setStored(submission.changes(), submission.outcome());
        }
    }

    private void finishOldRuns() {
        for (WorkerNode worker : List.copyOf(pool.scheduler.workers())) {
            for (Placement run : List.copyOf(worker.placements())) {
                end(run, Result.DONE);
            }
        }
    }

    private void end(Placement run, Result result) {
        long number = lastEnds.merge(run.worker(), 1L, Long::sum);
        TaskEnd end = Pool.end(number, run, result);
        pool.report(run.worker(), end);
    }

    /** Runs until nothing is left to start. */
    private void finishAll() {
        for (int i = 0; i < 100; i++) {
            finishOldRuns();
            store();
            pool.advance(Duration.ofMillis(400));
            pool.startAll();
        }
        assertThat(busyWorkers(), empty());
    }
}
