package org.crocusgrade.bench.trial;

import java.time.Duration;
import java.util.Objects;

/**
 * What a trial does.
 *
 * @param deployment whose fleet, services and callers
 * @param length how long callers send
 * @param seed what callers' requests and turns are drawn from
 * @param daemons how many daemons run
 */
public record TrialPlan(Deployment deployment, Duration length, long seed, int daemons) {
    /** The shortest trial. */
    public static final Duration SHORTEST = Duration.ofSeconds(5);

    /** The longest trial. */
    public static final Duration LONGEST = Duration.ofHours(1);

    /** Checks the fields. */
    public TrialPlan {
        Objects.requireNonNull(deployment);
        Objects.requireNonNull(length);
        if (length.compareTo(SHORTEST) < 0 || length.compareTo(LONGEST) > 0) {
            throw new IllegalArgumentException("a trial lasts 5 s to 1 h");
        }
        if (daemons < 1) {
            throw new IllegalArgumentException("a trial needs a daemon");
        }
    }

    /** Returns the time at a part of the length. */
    Duration part(double share) {
        return Duration.ofMillis(Math.round(length.toMillis() * share));
    }
}
