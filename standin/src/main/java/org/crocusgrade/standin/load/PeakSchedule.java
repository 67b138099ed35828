package org.crocusgrade.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Which queue peaks when. The queues peak in turns: a round gives each queue one turn, in an order
 * drawn anew; a turn lasts some seconds. In its turn a queue asks for {@link #PEAK} times its mean,
 * else for {@link #QUIET} of it, so over whole rounds of five queues it asks for about its mean.
 */
public final class PeakSchedule {
    /** What a queue asks for in its turn, as a multiple of its mean. */
    public static final double PEAK = 5;

    /** What a queue asks for out of its turn, as a multiple of its mean. */
    public static final double QUIET = 0.05;

    private record Turn(int queue, Duration end) {}

    private final List<Turn> turns = new ArrayList<>();

    /**
     * Draws a schedule.
     *
     * @param queues how many queues take turns
     * @param length at least how long the schedule lasts
     * @param shortest the shortest turn
     * @param longest the longest turn
     */
    public PeakSchedule(
            int queues, Duration length, Duration shortest, Duration longest, long seed) {
        if (queues < 1 || shortest.isZero() || shortest.compareTo(longest) > 0) {
            throw new IllegalArgumentException("queues or lengths of turns are out of range");
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

    /** Returns the queue whose turn it is; after the schedule's end, the last one. */
    public int peaking(Duration since) {
        for (Turn turn : turns) {
            if (since.compareTo(turn.end()) < 0) {
                return turn.queue();
            }
        }
        return turns.get(turns.size() - 1).queue();
    }

    /** Returns what a queue asks for at a time, as a multiple of its mean. */
    public double factor(int queue, Duration since) {
        return peaking(since) == queue ? PEAK : QUIET;
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
