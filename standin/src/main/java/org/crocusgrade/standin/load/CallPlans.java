package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws the requests of each tick of time. The same seed gives the same requests at the same ticks,
 * whatever becomes of them: callers do not wait for each other.
 */
final class CallPlans {
    /** The time between two draws. */
    static final Duration TICK = Duration.ofMillis(10);

    private static final double TICKS_PER_SECOND = 100;
    private static final double SPREAD = 0.5;
    private static final double LONG_SHARE = 0.03;
    private static final double LONG_FACTOR = 4;
    private static final int MIN_ANSWER_BYTES = 16;
    private static final int ANSWER_BYTES_SPREAD = 4096;
    private static final Duration WAVE_EVERY = Duration.ofSeconds(7);
    private static final Duration WAVE = Duration.ofMillis(700);
    private static final double WAVE_SHARE = 0.3;
    private static final int WAVE_PATIENCE_MS = 150;

    private final List<QueueLoad> queues;
    private final PeakSchedule schedule;
    private final Random random;
    private final String prefix;
    private long drawn;

    CallPlans(List<QueueLoad> queues, PeakSchedule schedule, long seed) {
        this.queues = List.copyOf(queues);
        this.schedule = schedule;
        this.random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        this.prefix = "n-" + Long.toHexString(seed) + "-";
    }

    /** Draws the requests of the tick that starts at a time. */
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
        double factor = Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
        if (random.nextDouble() < LONG_SHARE) {
            factor *= LONG_FACTOR;
        }
        Duration work = Duration.ofMillis(Math.round(queue.meanWork().toMillis() * factor));
        int bytes = MIN_ANSWER_BYTES + random.nextInt(ANSWER_BYTES_SPREAD);
        boolean impatient = inWave(since) && random.nextDouble() < WAVE_SHARE;
        Duration patience =
                impatient
                        ? Duration.ofMillis(1 + random.nextInt(WAVE_PATIENCE_MS))
                        : queue.timeout();
        return new CallPlan(prefix + drawn++, queue, idempotent, work, bytes, patience);
    }

    private static boolean inWave(Duration since) {
        return since.toMillis() % WAVE_EVERY.toMillis() >= WAVE_EVERY.minus(WAVE).toMillis();
    }

    /** Draws from the Poisson distribution of a small mean by multiplying uniform numbers. */
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
