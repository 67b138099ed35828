package org.crocusgrade.bench.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws two faults at a time from a seed, with a pause after each pair. The second fault of a pair
 * begins while the first lasts, and the two are at different places, or at different workers.
 */
public final class FaultSchedule {
    private static final Duration FIRST = Duration.ofSeconds(2);
    private static final Duration SHORTEST = Duration.ofSeconds(2);
    private static final int SPREAD_MS = 5000;
    private static final Duration PAUSE = Duration.ofSeconds(4);

    private FaultSchedule() {}

    /**
     * Draws a schedule whose faults end within a length.
     *
     * @param daemons how many daemons there are
     * @param workers how many workers there are
     */
    public static List<Fault> draw(Duration length, int daemons, int workers, long seed) {
        Random random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        List<Fault> faults = new ArrayList<>();
        Duration at = FIRST;
        while (true) {
            Fault first = one(at, daemons, workers, random);
            Fault second = one(at, daemons, workers, random);
            while (clash(first, second)) {
                second = one(at, daemons, workers, random);
            }
            Duration delay = Duration.ofMillis(random.nextInt((int) first.length().toMillis()));
            second = new Fault(second.kind(), second.target(), at.plus(delay), second.length());
            Duration end = first.end().compareTo(second.end()) > 0 ? first.end() : second.end();
            if (end.compareTo(length) > 0) {
                return faults;
            }
            faults.add(first);
            faults.add(second);
            at = end.plus(PAUSE);
        }
    }

    private static boolean clash(Fault first, Fault second) {
        boolean samePlace = first.kind().place() == second.kind().place();
        boolean sameTarget = first.target() == second.target();
        return samePlace && (sameTarget || first.kind().place() != Fault.Place.WORKER);
    }

    private static Fault one(Duration at, int daemons, int workers, Random random) {
        Fault.Kind[] kinds = Fault.Kind.values();
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        int targets =
                switch (kind.place()) {
                    case DAEMON -> daemons;
                    case WORKER -> workers;
                    case SERVICE, HOSTS -> 1;
                };
        Duration length = SHORTEST.plusMillis(random.nextInt(SPREAD_MS));
        return new Fault(kind, random.nextInt(targets), at, length);
    }
}
