package org.crocusgrade.bench.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws pairs of overlapping faults from a seed, with a pause after each pair. The second fault of
 * a pair begins while the first lasts, and the two are in different components or in different
 * workers.
 */
public final class FaultSchedule {
    private static final Duration FIRST_START = Duration.ofSeconds(2);
    private static final Duration MIN_LENGTH = Duration.ofSeconds(2);
    private static final int LENGTH_RANGE_MS = 5000;
    private static final Duration PAUSE = Duration.ofSeconds(4);

    private FaultSchedule() {}

    /**
     * Draws a schedule whose faults all end within the given length.
     *
     * @param daemons how many daemons there are
     * @param workers how many workers there are
     */
    public static List<Fault> draw(Duration length, int daemons, int workers, long seed) {
        Random random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        List<Fault> faults = new ArrayList<>();
        Duration at = FIRST_START;
        while (true) {
            Fault first = drawFault(at, daemons, workers, random);
            Fault second = drawFault(at, daemons, workers, random);
            while (conflict(first, second)) {
                second = drawFault(at, daemons, workers, random);
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

    private static boolean conflict(Fault first, Fault second) {
        boolean sameComponent = first.kind().component() == second.kind().component();
        boolean sameTarget = first.target() == second.target();
        return sameComponent && (sameTarget || first.kind().component() != Fault.Component.WORKER);
    }

    private static Fault drawFault(Duration at, int daemons, int workers, Random random) {
        Fault.Kind[] kinds = Fault.Kind.values();
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        int targets =
                switch (kind.component()) {
                    case DAEMON -> daemons;
                    case WORKER -> workers;
                    case SERVICE, HOSTS -> 1;
                };
        Duration length = MIN_LENGTH.plusMillis(random.nextInt(LENGTH_RANGE_MS));
        return new Fault(kind, random.nextInt(targets), at, length);
    }
}
