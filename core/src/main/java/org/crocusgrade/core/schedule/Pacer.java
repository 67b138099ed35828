package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.schedule.Placement.Phase;

/**
 * Sets the CPU share of opportunistic tasks that run beside serving tasks, so that the tail latency
 * of the serving tasks stays below its target.
 *
 * <p>Load: the load of a serving task rises within seconds, or tasks that interfere with it start
 * on the same worker, and its tail latency nears its target. All opportunistic tasks of that worker
 * are slowed down by the same factor, which falls as the excess grows, so that the tail is not over
 * the target for long. Their share recovers in small steps while the tail is well below the target.
 * A share that proved too high is remembered for a while, and the recovery stays below it. Worked
 * case: the target is 80 ms and three reports show tails of 100, 60 and 40 ms: the share falls from
 * 100 to 40 percent, stays, and rises to 50.
 */
final class Pacer {
    /** Tasks are slowed down while the ratio of tail latency to target is above this. */
    private static final double SLOW_DOWN_RATIO = 0.85;

    /** The share recovers while the ratio of tail latency to target is below this. */
    private static final double RECOVERY_RATIO = 0.65;

    /** Upper bound of the factor that is applied to the share when the target is missed. */
    private static final double MAX_FACTOR_OVER_TARGET = 0.4;

    /** Factor that is applied to the share when the tail latency nears its target. */
    private static final double FACTOR_NEAR_TARGET = 0.75;

    /** A lower share does no useful work and is set to 0, in percent. */
    private static final int MIN_USEFUL_PERCENT = 5;

    /** How much the share rises at a time, in percentage points. */
    private static final int INCREASE_PERCENT = 10;

    private static final int FULL_PERCENT = 100;

    /** The recovery stays this far below a share that proved too high, in percentage points. */
    private static final int CEILING_GAP_PERCENT = 10;

    /** How long a share that proved too high is remembered; loads change within seconds. */
    private static final long CEILING_NANOS = Duration.ofSeconds(6).toNanos();

    /**
     * A reported tail covers the last half second, so the effect of a change shows only after that.
     */
    private static final long SETTLE_NANOS = Duration.ofMillis(600).toNanos();

    /** The delay before an order that got no answer is sent again. */
    private static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

    private final PoolState pool;
    private final Map<WorkerNode, ShareController> controllers = new HashMap<>();

    Pacer(PoolState pool) {
        this.pool = pool;
    }

    /** Returns the orders to send now. */
    List<Order> plan(long now) {
        controllers.keySet().retainAll(pool.workers().values());
        List<Order> orders = new ArrayList<>();
        for (WorkerNode worker : pool.workers().values()) {
            List<Placement> opportunisticRuns = opportunisticRuns(worker);
            if (opportunisticRuns.isEmpty() && !controllers.containsKey(worker)) {
                continue;
            }
            ShareController controller =
                    controllers.computeIfAbsent(worker, w -> new ShareController());
            controller.update(highestTailRatio(worker), worker.reportedNanos(), now);
            for (Placement run : opportunisticRuns) {
                if (run.isPaceDue(controller.percent, now, RETRY_NANOS)) {
                    run.paceSent(now);
                    orders.add(new Order.Pace(run, controller.percent));
                }
            }
        }
        return orders;
    }

    /** Returns the share that an opportunistic task on a worker would get, in percent. */
    int percent(WorkerNode worker) {
        ShareController controller = controllers.get(worker);
        return controller == null ? FULL_PERCENT : controller.percent;
    }

    private static List<Placement> opportunisticRuns(WorkerNode worker) {
        List<Placement> opportunisticRuns = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            boolean running = placement.phase() == Phase.RUNNING;
            if (running && placement.task().step().spec().opportunistic()) {
                opportunisticRuns.add(placement);
            }
        }
        return opportunisticRuns;
    }

    /** Returns the highest ratio of tail latency to target among the worker's serving tasks. */
    private static double highestTailRatio(WorkerNode worker) {
        double highest = 0;
        for (Placement placement : worker.placements()) {
            Duration target = placement.task().step().spec().latencyTarget().orElse(Duration.ZERO);
            boolean serves = placement.task().step().spec().longRunning() && !target.isZero();
            if (serves && placement.isAtFullShare()) {
                highest = Math.max(highest, (double) placement.load() / target.toMillis());
            }
        }
        return highest;
    }

    private static final class ShareController {
        private int percent = FULL_PERCENT;
        private int ceiling = FULL_PERCENT;
        private long ceilingNanos;
        private boolean changed;
        private long changedNanos;

        void update(double tailRatio, long reportedNanos, long now) {
            if (changed && reportedNanos - changedNanos < SETTLE_NANOS) {
                return;
            }
            if (now - ceilingNanos > CEILING_NANOS) {
                ceiling = FULL_PERCENT;
            }
            if (tailRatio > SLOW_DOWN_RATIO) {
                lower(tailRatio, now);
            } else if (tailRatio < RECOVERY_RATIO && percent < ceiling) {
                set(Math.min(ceiling, percent + INCREASE_PERCENT), now);
            }
        }

        private void lower(double tailRatio, long now) {
            if (percent == 0) {
                return;
            }
            ceiling = Math.max(MIN_USEFUL_PERCENT, percent - CEILING_GAP_PERCENT);
            ceilingNanos = now;
            double factor =
                    tailRatio > 1
                            ? Math.min(MAX_FACTOR_OVER_TARGET, 1 / (tailRatio * tailRatio))
                            : FACTOR_NEAR_TARGET;
            int next = (int) (percent * factor);
            set(next < MIN_USEFUL_PERCENT ? 0 : next, now);
        }

        private void set(int next, long now) {
            percent = next;
            changed = true;
            changedNanos = now;
        }
    }
}
