package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskId;

/**
 * Random histories of one pool, with lost and refused starts and failed runs: no worker is over
 * capacity, and no task has two active runs.
 */
class CapacityPropertyTest {
    private static final int ROUNDS = 60;

    @Property(tries = 60)
    void noWorkerIsOverCapacityAndNoTaskRunsTwice(@ForAll long seed) {
        Random random = new Random(seed);
        Pool pool = Pool.settled();
        Map<WorkerNode, Long> ends = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            ends.put(pool.worker("w" + i, "r" + i), 0L);
        }
        for (int round = 0; round < ROUNDS; round++) {
            pool.submit(false, Pool.step(1 + random.nextInt(8), 500 + random.nextInt(9000)));
            for (Placement placement : pool.starts()) {
                pool.answer(placement, answer(random));
            }
            check(pool);
            for (WorkerNode worker : ends.keySet()) {
                long lastNumber = ends.get(worker);
                List<TaskEnd> newEnds = new ArrayList<>();
                for (Placement placement : worker.placements()) {
                    if (placement.phase() == Placement.Phase.RUNNING && random.nextInt(3) == 0) {
                        Result result = random.nextInt(8) == 0 ? Result.FAILED : Result.DONE;
                        newEnds.add(Pool.end(++lastNumber, placement, result));
                    }
                }
                ends.put(worker, lastNumber);
                pool.report(worker, newEnds.toArray(new TaskEnd[0]));
            }
            check(pool);
        }
    }

    /** Guards against starts beyond a capacity that shrinks and grows while runs are active. */
    @Property(tries = 60)
    void noStartBringsWorkerOverItsChangingCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        Pool pool = Pool.settled();
        List<WorkerNode> workers = List.of(pool.worker("w0", "r0"), pool.worker("w1", "r1"));
        for (int round = 0; round < ROUNDS; round++) {
            for (WorkerNode worker : workers) {
                long cores = random.nextInt(33);
                worker.setCapacity(new Resources(1000 * cores, 4096 * cores, 0));
            }
            pool.submit(false, Pool.step(1 + random.nextInt(8), 500 + random.nextInt(9000)));
            for (Placement placement : pool.starts()) {
                Resources free = placement.worker().free();
                assertThat(free.milliCores(), greaterThanOrEqualTo(0L));
                assertThat(free.memoryMb(), greaterThanOrEqualTo(0L));
                pool.answer(placement, answer(random));
            }
            workers.forEach(pool::report);
            assertThat(pool.scheduler.batchCores(pool.now()), greaterThanOrEqualTo(0.0));
        }
    }

    private static StartAnswer answer(Random random) {
        return switch (random.nextInt(10)) {
            case 0 -> StartAnswer.UNKNOWN;
            case 1 -> StartAnswer.NO_ROOM;
            default -> StartAnswer.STARTED;
        };
    }

    private static void check(Pool pool) {
        Map<TaskId, Integer> runs = new HashMap<>();
        for (WorkerNode worker : pool.scheduler.workers()) {
            assertThat(worker.free().milliCores(), greaterThanOrEqualTo(0L));
            assertThat(worker.free().memoryMb(), greaterThanOrEqualTo(0L));
            worker.placements().forEach(p -> runs.merge(p.task().id(), 1, Integer::sum));
        }
        runs.values().forEach(n -> assertThat(n, is(1)));
    }
}
