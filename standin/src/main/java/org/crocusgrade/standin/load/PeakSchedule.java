package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Decides which queue has its load peak at which time. The schedule consists of rounds. In each
 * round every queue has one turn, in an order that is drawn anew for the round, and each turn has a
 * random length. During its turn a queue generates {@link #PEAK} times its mean load, and {@link
 * #OFF_PEAK} times its mean otherwise. With five queues, this averages to about the mean load over
 * whole rounds: (5 + 4 * 0.05) / 5 = 1.04.
 */
public final class PeakSchedule {
    /** Load of a queue during its turn, as a multiple of its mean load. */
    public static final double PEAK = 5;

    /** Load of a queue outside its turn, as a multiple of its mean load. */
    public static final double OFF_PEAK = 0.05;

    private record Turn(int queue, Duration end) {}

    private final List<Turn> turns = new ArrayList<>();

    /**
     * Draws a schedule from a seed; the same arguments give the same schedule.
     *
     * @param queues the number of queues, at least 1
     * @param length minimum length of the schedule, which ends with a whole round
     * @param shortest minimum length of a turn, above 0
     * @param longest maximum length of a turn
     */
    public PeakSchedule(
            int queues, Duration length, Duration shortest, Duration longest, long seed) {
        if (queues < 1 || shortest.isZero() || shortest.compareTo(longest) > 0) {
            throw new IllegalArgumentException(
                    "a schedule needs at least 1 queue and turns with 0 < shortest <= longest");
        }
        Random random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        Duration end = Duration.ZERO;
        while (end.compareTo(length) < 0) {
            for (int queue : order(queues, random)) {
                int spread = (int) longest.minus(shortest).toMillis() + 1;
                end = end.plus(shortest).plusMillis(random.nextInt(spread));
                turns.add(new Turn(queue, end));
            }
        }
    }

    /**
     * Returns the index of the queue that peaks at a time since the start; after the schedule's
     * end, that of the last turn.
     */
    public int peakQueue(Duration since) {
        for (Turn turn : turns) {
            if (since.compareTo(turn.end()) < 0) {
                return turn.queue();
            }
        }
        return turns.get(turns.size() - 1).queue();
    }

    /** Returns a queue's load at a time since the start, as a multiple of its mean load. */
    public double factor(int queue, Duration since) {
        return peakQueue(since) == queue ? PEAK : OFF_PEAK;
    }

    private static List<Integer> order(int queues, Random random) {
        List<Integer> order = new ArrayList<>();
        for (int queue = 0; queue < queues; queue++) {
            order.add(queue);
        }
        Collections.shuffle(order, random);
        return order;
    }
}
