package org.crocusgrade.bench.trial;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of a trial.
 *
 * @param deployment the deployment whose fleet, services and callers are used
 * @param length how long callers send; {@link #SHORTEST} to {@link #LONGEST}
 * @param seed the seed of callers' requests, of the schedules and of the stand-ins
 * @param daemons how many daemons run; at least one
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
            throw new IllegalArgumentException("the length of a trial must be from 5 s to 1 h");
        }
        if (daemons < 1) {
            throw new IllegalArgumentException("a trial needs at least one daemon");
        }
    }

    /** Returns the time from the start to a fraction of the length. */
    Duration offset(double fraction) {
        return Duration.ofMillis(Math.round(length.toMillis() * fraction));
    }
}
