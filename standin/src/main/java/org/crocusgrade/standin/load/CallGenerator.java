package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the requests of each tick of time, with Poisson arrivals. The load is open: the same
 * seed gives the same requests at the same ticks, whatever the results of earlier requests, because
 * callers do not wait for each other.
 *
 * <p>Run times are log-normal around the queue's mean, and a few of them are multiplied by {@link
 * #LONG_WORK_FACTOR}. At the end of each {@link #ABANDON_PERIOD}, for a time of {@link
 * #ABANDON_WINDOW}, a share of the callers abandon their calls after 1 ms to {@link
 * #MAX_ABANDON_TIMEOUT_MS}.
 */
final class CallGenerator {
    /** The time between two draws. */
    static final Duration TICK = Duration.ofMillis(10);

    private static final double TICKS_PER_SECOND = 100;

    /** Standard deviation of the logarithm of run times. */
    private static final double WORK_LOG_SIGMA = 0.5;

    private static final double LONG_WORK_SHARE = 0.03;
    private static final double LONG_WORK_FACTOR = 4;
    private static final int MIN_ANSWER_BYTES = 16;
    private static final int ANSWER_BYTES_RANGE = 4096;
    private static final Duration ABANDON_PERIOD = Duration.ofSeconds(7);
    private static final Duration ABANDON_WINDOW = Duration.ofMillis(700);
    private static final double ABANDON_SHARE = 0.3;
    private static final int MAX_ABANDON_TIMEOUT_MS = 150;

    private final List<QueueLoad> queues;
    private final PeakSchedule schedule;
    private final Random random;
    private final String prefix;
    private long drawn;

    CallGenerator(List<QueueLoad> queues, PeakSchedule schedule, long seed) {
        this.queues = List.copyOf(queues);
        this.schedule = schedule;
        this.random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        this.prefix = "n-" + Long.toHexString(seed) + "-";
    }

    /** Draws the requests of the tick that starts at a time since the load's start. */
    List<CallPlan> draw(Duration since) {
        List<CallPlan> plans = new ArrayList<>();
        for (int i = 0; i < queues.size(); i++) {
            QueueLoad queue = queues.get(i);
            double mean = queue.meanPerSecond() * schedule.factor(i, since) / TICKS_PER_SECOND;
            for (int n = poisson(mean); n > 0; n--) {
                plans.add(plan(queue, since));
            }
        }
        return plans;
    }

    private CallPlan plan(QueueLoad queue, Duration since) {
        boolean idempotent = random.nextDouble() < queue.idempotentShare();
        double factor =
                Math.exp(
                        WORK_LOG_SIGMA * random.nextGaussian()
                                - WORK_LOG_SIGMA * WORK_LOG_SIGMA / 2);
        if (random.nextDouble() < LONG_WORK_SHARE) {
            factor *= LONG_WORK_FACTOR;
        }
        Duration work = Duration.ofMillis(Math.round(queue.meanWork().toMillis() * factor));
        int bytes = MIN_ANSWER_BYTES + random.nextInt(ANSWER_BYTES_RANGE);
        boolean abandoned = inAbandonWindow(since) && random.nextDouble() < ABANDON_SHARE;
        Duration timeout =
                abandoned
                        ? Duration.ofMillis(1 + random.nextInt(MAX_ABANDON_TIMEOUT_MS))
                        : queue.timeout();
        return new CallPlan(prefix + drawn++, queue, idempotent, work, bytes, timeout);
    }

    private static boolean inAbandonWindow(Duration since) {
        return since.toMillis() % ABANDON_PERIOD.toMillis()
                >= ABANDON_PERIOD.minus(ABANDON_WINDOW).toMillis();
    }

    /**
     * Draws from a Poisson distribution by multiplying uniform numbers (Knuth's method), which is
     * efficient for a small mean only.
     */
    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }
}
