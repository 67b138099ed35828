package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.schedule.Placement.Phase;

/**
 * Decides at which share opportunistic tasks work beside tasks that serve users.
 *
 * <p>Load: a serving task's own load rises within seconds, or tasks that interfere start beside it,
 * and the tail of its response times nears its target. The opportunistic tasks of that worker are
 * slowed down together, by a factor that grows with the excess, before the tail has been over the
 * target for long, and come back slowly, in small steps, while it is well below. A share that was
 * too much is remembered for a while, and what comes back stays below it. Worked case: the target
 * is 80 ms and three looks show tails of 100, 60 and 40 ms: from 100 the share goes to 40 percent,
 * stays, and rises to 50.
 */
final class Pacer {
    /** From this part of the target on, tasks are slowed down. */
    private static final double HIGH_PART = 0.85;

    /** Below this part of the target they come back. */
    private static final double LOW_PART = 0.65;

    /** The most that is left of a share when the target is missed. */
    private static final double CUT = 0.4;

    /** What is left of a share when the tail is near its target. */
    private static final double EASE = 0.75;

    /** A share below this does no useful work and is set to nothing, in percent. */
    private static final int LEAST_PERCENT = 5;

    /** How much comes back at a time, in percent. */
    private static final int STEP_PERCENT = 10;

    private static final int FULL_PERCENT = 100;

    /** What comes back stays this far below a share that was too much, in percent. */
    private static final int CEILING_GAP_PERCENT = 10;

    /** How long a share that was too much is remembered; loads change within seconds. */
    private static final long CEILING_NANOS = Duration.ofSeconds(6).toNanos();

    /** A tail covers the last half second, so a change shows only after that. */
    private static final long SETTLE_NANOS = Duration.ofMillis(600).toNanos();

    /** The pause before an order without an answer is sent again. */
    private static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

    private final PoolState pool;
    private final Map<WorkerNode, Level> levels = new HashMap<>();

    Pacer(PoolState pool) {
        this.pool = pool;
    }

    /** Returns the orders that are due. */
    List<Order> plan(long now) {
        levels.keySet().retainAll(pool.workers().values());
        List<Order> orders = new ArrayList<>();
        for (WorkerNode worker : pool.workers().values()) {
            List<Placement> fillers = fillers(worker);
            if (fillers.isEmpty() && !levels.containsKey(worker)) {
                continue;
            }
            Level level = levels.computeIfAbsent(worker, w -> new Level());
            level.judge(worstTail(worker), worker.reportedNanos(), now);
            for (Placement filler : fillers) {
                if (filler.isPaceDue(level.percent, now, RETRY_NANOS)) {
                    filler.paceSent(now);
                    orders.add(new Order.Pace(filler, level.percent));
                }
            }
        }
        return orders;
    }

    /** Returns the share that an opportunistic task on a worker would get, in percent. */
    int percent(WorkerNode worker) {
        Level level = levels.get(worker);
        return level == null ? FULL_PERCENT : level.percent;
    }

    private static List<Placement> fillers(WorkerNode worker) {
        List<Placement> fillers = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            boolean running = placement.phase() == Phase.RUNNING;
            if (running && placement.task().step().spec().opportunistic()) {
                fillers.add(placement);
            }
        }
        return fillers;
    }

    /** Returns the highest tail of the worker's serving tasks, as a part of its target. */
    private static double worstTail(WorkerNode worker) {
        double worst = 0;
        for (Placement placement : worker.placements()) {
            Duration target = placement.task().step().spec().latencyTarget().orElse(Duration.ZERO);
            boolean serves = placement.task().step().spec().longRunning() && !target.isZero();
            if (serves && placement.isAtWork()) {
                worst = Math.max(worst, (double) placement.load() / target.toMillis());
            }
        }
        return worst;
    }

    private static final class Level {
        private int percent = FULL_PERCENT;
        private int ceiling = FULL_PERCENT;
        private long ceilingNanos;
        private boolean changed;
        private long changedNanos;

        void judge(double tail, long reportedNanos, long now) {
            if (changed && reportedNanos - changedNanos < SETTLE_NANOS) {
                return;
            }
            if (now - ceilingNanos > CEILING_NANOS) {
                ceiling = FULL_PERCENT;
            }
            if (tail > HIGH_PART) {
                lower(tail, now);
            } else if (tail < LOW_PART && percent < ceiling) {
                set(Math.min(ceiling, percent + STEP_PERCENT), now);
            }
        }

        private void lower(double tail, long now) {
            if (percent == 0) {
                return;
            }
            ceiling = Math.max(LEAST_PERCENT, percent - CEILING_GAP_PERCENT);
            ceilingNanos = now;
            double part = tail > 1 ? Math.min(CUT, 1 / (tail * tail)) : EASE;
            int next = (int) (percent * part);
            set(next < LEAST_PERCENT ? 0 : next, now);
        }

        private void set(int next, long now) {
            percent = next;
            changed = true;
            changedNanos = now;
        }
    }
}
