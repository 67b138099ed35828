package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.submission.TaskRun;
import org.junit.jupiter.api.Test;

/** Opportunistic tasks beside tasks that serve users. */
class PacerTest {
    private static final long TARGET_MILLIS = 80;
    private static final Duration LOOK = Duration.ofMillis(500);

    private final Pool pool = Pool.settled();
    private final WorkerNode worker = pool.worker("w1", "r1");
    private final Map<Placement, Integer> shares = new HashMap<>();

    @Test
    void nothingIsSlowedDownWhileTheTailIsLow() {
        start(2);
        for (int i = 0; i < 10; i++) {
            assertThat(look(40), empty());
        }
    }

    @Test
    void allThatFillsAWorkerIsSlowedDownWhenTheTailNearsItsTarget() {
        start(3);
        List<Order.Pace> orders = look(75);
        assertThat(orders, hasSize(3));
        assertThat(orders.stream().map(Order.Pace::percent).toList(), everyItem(is(75)));
    }

    @Test
    void theShareFallsStaysAndRisesWithTheTail() {
        start(1);
        look(100);
        assertThat(share(), is(40));
        assertThat(look(60), empty());
        look(40);
        assertThat(share(), is(50));
    }

    @Test
    void aTailFarOverItsTargetStopsThemAlmostAtOnce() {
        start(1);
        assertThat(look(240).get(0).percent(), lessThanOrEqualTo(15));
        look(240);
        assertThat(share(), lessThanOrEqualTo(15));
        look(240);
        look(240);
        assertThat(share(), is(0));
    }

    @Test
    void theShareComesBackSlowlyAndStaysBelowWhatWasTooMuch() {
        start(1);
        look(100);
        int cut = share();
        assertThat(cut, lessThanOrEqualTo(40));
        for (int i = 0; i < 4; i++) {
            look(30);
        }
        assertThat(share(), greaterThan(cut));
        for (int i = 0; i < 6; i++) {
            look(30);
        }
        assertThat(share(), lessThan(100));
        for (int i = 0; i < 20; i++) {
            look(30);
        }
        assertThat("after a while the load may have changed", share(), is(100));
    }

    @Test
    void anOrderWithoutAnAnswerIsSentAgain() {
        start(1);
        pool.advance(LOOK);
        report(200);
        Order.Pace lost = paces().get(0);
        pool.scheduler.onPaceAnswer(lost.placement(), lost.percent(), false);
        assertThat(paces(), empty());
        pool.advance(Duration.ofMillis(350));
        assertThat(paces(), hasSize(1));
    }

    @Test
    void aTaskThatStartsLaterGetsTheShareOfTheOthers() {
        start(1);
        look(90);
        int held = share();
        pool.submit(false, new StepBuilder(1, 2000).opportunistic().build());
        assertThat(pool.startAll(), hasSize(1));
        List<Order.Pace> orders = paces();
        assertThat(orders, hasSize(1));
        assertThat(orders.get(0).percent(), is(held));
    }

    @Test
    void otherTasksRatherGoWhereTheyAreNotSlowedDown() {
        start(1);
        look(200);
        WorkerNode small = pool.worker("w2", "r1");
        pool.submit(false, new StepBuilder(1, 31_000).build());
        assertThat(pool.startAll().get(0).worker(), is(small));
        pool.submit(false, new StepBuilder(1, 2000).opportunistic().build());
        assertThat(pool.startAll().get(0).worker(), is(small));
    }

    @Test
    void tasksThatFillGoWhereMostIsLeft() {
        WorkerNode free = pool.worker("w2", "r1");
        start(0);
        WorkerNode serving =
                pool.scheduler.workers().stream()
                        .filter(w -> w.longRunning() > 0)
                        .findFirst()
                        .orElseThrow();
        pool.submit(false, new StepBuilder(2, 4000).opportunistic().build());
        for (Placement placement : pool.startAll()) {
            assertThat(placement.worker() == serving, is(false));
        }
        assertThat(free.placements().size() + worker.placements().size(), is(3));
    }

    /**
     * A serving task whose tail is 50 ms alone and rises with what fills beside it, at a load that
     * doubles in between: it must never be over its target for 4 s on end.
     */
    @Test
    void theTailIsNotOverItsTargetForLong() {
        start(3);
        double over = 0;
        double longest = 0;
        for (int i = 0; i < 120; i++) {
            double interference = i % 40 < 20 ? 0.3 : 0.9;
            double tail = 50 * (1 + interference * 3 * share() / 100);
            look(Math.round(tail));
            over = tail > TARGET_MILLIS ? over + LOOK.toMillis() : 0;
            longest = Math.max(longest, over);
        }
        assertThat(longest, lessThan(2500.0));
    }

    private void start(int fillers) {
        pool.submit(
                false,
                new StepBuilder(1, 4000)
                        .longRunning(1)
                        .latencyTarget(Duration.ofMillis(TARGET_MILLIS))
                        .build());
        pool.startAll();
        if (fillers > 0) {
            pool.submit(false, new StepBuilder(fillers, 2000).opportunistic().build());
            assertThat(pool.startAll(), hasSize(fillers));
        }
        report(20);
    }

    /** Half a second passes, the worker reports a tail, and takes every order. */
    private List<Order.Pace> look(long tail) {
        pool.advance(LOOK);
        report(tail);
        List<Order.Pace> orders = paces();
        for (Order.Pace order : orders) {
            shares.put(order.placement(), order.percent());
            pool.scheduler.onPaceAnswer(order.placement(), order.percent(), true);
        }
        return orders;
    }

    private int share() {
        return shares.values().stream().findFirst().orElse(100);
    }

    private void report(long tail) {
        List<TaskRun> running = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            boolean serves = placement.task().step().spec().longRunning();
            running.add(
                    new TaskRun(
                            placement.task().id(),
                            placement.run(),
                            "",
                            serves ? 100 : shares.getOrDefault(placement, 100),
                            serves ? tail : 0));
        }
        pool.list(worker, running);
    }

    private List<Order.Pace> paces() {
        List<Order.Pace> paces = new ArrayList<>();
        for (Order order : pool.plan()) {
            if (order instanceof Order.Pace pace) {
                paces.add(pace);
            }
        }
        return paces;
    }
}
