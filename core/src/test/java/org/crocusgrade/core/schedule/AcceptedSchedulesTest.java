package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.submission.Recurrence;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.core.submission.TaskRun;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepted schedules that use up the memory of each daemon that owns their pool. */
class AcceptedSchedulesTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int MINUTES_OF_A_DAY = 1440;
    private static final int TASKS = 12;

    private final Pool pool = Pool.settled();

    @ParameterizedTest
    @ValueSource(ints = {15, 30, 100, 1000})
    void schedulesUseNoMoreMemoryThanIsCounted(int schedules) {
        long before = usedBytes();
        for (int i = 0; i < schedules; i++) {
            pool.submit(false, Optional.of(eachMinuteOfADay()), step(TASKS, 500));
        }
        pool.plan();
        long used = usedBytes() - before;
        long counted = HeapShare.bytes(pool.scheduler.submissions());
        assertThat(used, lessThan(counted + 2_000_000));
        assertThat(pool.scheduler.submissions(), hasSize(schedules));
    }

    /** Checks what is counted for a task, with many that are due. */
    @Test
    void dueTasksUseNoMoreMemoryThanIsCounted() {
        long before = usedBytes();
        for (int i = 0; i < 100; i++) {
            pool.submit(false, step(2000, 500));
        }
        pool.plan();
        long used = usedBytes() - before;
        assertThat(used, lessThan(HeapShare.bytes(pool.scheduler.submissions())));
    }

    @Test
    void occurrencesBeyondTheMemoryForThemWaitAndAreNotLost() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.scheduler.setHeapShare(new HeapShare(200));
        Recurrence due = new Recurrence(5, pool.wall(), Duration.ofMillis(1));
        TrackedSubmission submission = pool.submit(false, Optional.of(due), step(3, 1000));
        pool.advance(Duration.ofSeconds(1));
        int number = 0;
        List<Integer> order = new ArrayList<>();
        while (!submission.isAllDone() && number < 100) {
            List<Placement> starts = pool.startAll();
            assertThat("tasks that are held", submission.openTasks(), lessThanOrEqualTo(3));
            for (Placement start : starts) {
                order.add(start.task().id().step().occurrence());
                pool.report(worker, end(++number, start, Result.DONE));
            }
        }
        assertThat(order, is(List.of(0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4)));
        assertThat(submission.outcome(), is(SubmissionState.COMPLETED));
    }

    /** Guards against a submission whose first occurrence waits for the memory of another. */
    @Test
    void oneOccurrenceOfEachSubmissionIsHeldWhateverTheMemory() {
        pool.worker("w1", "r1");
        pool.scheduler.setHeapShare(new HeapShare(0));
        Recurrence due = new Recurrence(5, pool.wall(), Duration.ofMillis(1));
        pool.submit(false, Optional.of(due), new StepBuilder(1, 1000).label("absent").build());
        pool.submit(false, Optional.of(due), step(1, 1000));
        pool.advance(Duration.ofSeconds(1));
        assertThat(pool.startAll(), hasSize(1));
    }

    /** Guards against a second run of a task that a new owner has not looked at yet. */
    @Test
    void runOfAnOccurrenceThatIsNotHeldIsAdopted() {
        WorkerNode worker = pool.worker("w1", "r1");
        Recurrence later = new Recurrence(5, pool.wall().plus(MINUTE), MINUTE);
        TrackedSubmission submission = pool.submit(true, Optional.of(later), step(2, 1000));
        TaskId early = TaskId.parse(submission.id() + ".1.0.0").orElseThrow();
        pool.list(worker, List.of(new TaskRun(early, 7, "", 100, 0)));
        assertThat(worker.placement(early).isPresent(), is(true));
        pool.advance(MINUTE.multipliedBy(2));
        List<TaskId> started = pool.startAll().stream().map(p -> p.task().id()).toList();
        assertThat("the other three that are due", started, hasSize(3));
        assertThat(started.contains(early), is(false));
    }

    /** Guards against a task of an occurrence that is over and is started again. */
    @Test
    void occurrenceThatIsDoneStaysDone() {
        WorkerNode worker = pool.worker("w1", "r1");
        Recurrence twice = new Recurrence(2, pool.wall(), MINUTE);
        TrackedSubmission submission = pool.submit(false, Optional.of(twice), step(1, 1000));
        Placement start = pool.startAll().get(0);
        pool.report(worker, end(1, start, Result.DONE));
        assertThat(submission.task(start.task().id()).isPresent(), is(false));
        assertThat(submission.doneOccurrences().toArray(), is(new int[] {0}));
        pool.advance(Duration.ofSeconds(1));
        assertThat(pool.startAll(), empty());
        pool.list(worker, List.of(Pool.run(start)));
        assertThat("a late run is stopped", pool.stops(), hasSize(1));
    }

    @Test
    void submissionBeyondTheShareOfThePoolDoesNotFit() {
        StepSpec step = step(1000, 500);
        SubmissionSpec spec = new SubmissionSpec("p", List.of(step), Optional.empty());
        HeapShare share = HeapShare.of(1 << 27, 5);
        int accepted = 0;
        long held = 0;
        while (share.fits(held, spec)) {
            held += HeapShare.bytes(spec);
            accepted++;
        }
        assertThat(accepted, is(33));
        assertThat("all pools in one daemon", 2 * 5 * held, lessThan(1L << 26));
    }

    private Recurrence eachMinuteOfADay() {
        return new Recurrence(MINUTES_OF_A_DAY, pool.wall().plus(MINUTE), MINUTE);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
