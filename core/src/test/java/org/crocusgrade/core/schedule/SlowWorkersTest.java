package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.submission.TaskEnd.How;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A worker turns slow while others go on; tasks usually take a second. */
class SlowWorkersTest {
    private static final Duration USUAL = Duration.ofSeconds(1);

    private final Pool pool = Pool.settled();
    private final List<WorkerNode> workers = new ArrayList<>();

    @BeforeEach
    void learn() {
        WorkerNode first = pool.worker("w1", "r1");
        workers.add(first);
        for (int i = 1; i <= 10; i++) {
            pool.submit(false, step(1, 1000));
            Placement placement = pool.startAll().get(0);
            pool.advance(USUAL);
            pool.report(first, end(i, placement, How.DONE));
        }
    }

    @Test
    void whatOverrunsOnASlowWorkerStartsElsewhere() {
        List<Placement> held = runsOfTwoSubmissions();
        pool.worker("w2", "r1");
        pool.advance(Duration.ofMillis(1900));
        pool.report(workers.get(0));
        assertThat(pool.stops(), empty());
        pool.advance(Duration.ofMillis(600));
        pool.report(workers.get(0));
        assertThat(pool.stops(), hasSize(held.size()));
        for (int i = 0; i < held.size(); i++) {
            pool.report(workers.get(0), end(20 + i, held.get(i), How.STOPPED));
        }
        for (Placement again : pool.starts()) {
            assertThat(again.worker(), is(not(workers.get(0))));
        }
    }

    @Test
    void aSuspectedWorkerGetsNothingNewForAWhile() {
        List<Placement> held = runsOfTwoSubmissions();
        pool.advance(Duration.ofMillis(2500));
        pool.report(workers.get(0));
        pool.plan();
        pool.submit(false, step(1, 1000));
        assertThat(pool.starts(), empty());
        pool.report(workers.get(0), end(11, held.get(0), How.DONE));
        assertThat("a run that ends late proves nothing", pool.starts(), empty());
        pool.advance(Duration.ofSeconds(10));
        assertThat(workers.get(0).takesWork(pool.now()), is(true));
    }

    @Test
    void aSingleSubmissionThatTakesLongIsNotTheWorkersFault() {
        pool.submit(false, step(4, 1000));
        pool.startAll();
        pool.advance(Duration.ofMillis(2500));
        pool.report(workers.get(0));
        assertThat(pool.stops(), empty());
    }

    @Test
    void whenManyOverrunThePredictionIsWrong() {
        for (int i = 2; i <= 3; i++) {
            workers.add(pool.worker("w" + i, "r1"));
        }
        for (int i = 0; i < 6; i++) {
            pool.submit(false, step(1, 16_000));
        }
        assertThat(pool.startAll(), hasSize(6));
        pool.advance(Duration.ofMillis(2500));
        workers.forEach(pool::report);
        assertThat(pool.stops(), empty());
    }

    @Test
    void aWorkerThatFailsRunsOfSeveralSubmissionsIsLeftAloneForAWhile() {
        WorkerNode failing = workers.get(0);
        for (int i = 0; i < 3; i++) {
            pool.submit(false, step(1, 1000));
        }
        List<Placement> runs = pool.startAll();
        for (int i = 0; i < 3; i++) {
            pool.report(failing, end(11 + i, runs.get(i), How.FAILED));
        }
        pool.advance(Duration.ofMillis(100));
        assertThat(pool.starts(), empty());
        pool.worker("w2", "r1");
        assertThat(pool.starts(), hasSize(3));
        pool.advance(Duration.ofSeconds(3));
        assertThat(failing.takesWork(pool.now()), is(true));
    }

    private List<Placement> runsOfTwoSubmissions() {
        pool.submit(false, step(1, 1000));
        pool.submit(false, step(1, 1000));
        List<Placement> starts = pool.startAll();
        pool.report(workers.get(0));
        return starts;
    }
}
