package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * What operators publish for the whole fleet, beside the services' files.
 *
 * @param moveWeight the cost of one move of a worker, in slot-seconds that demand waits
 * @param bufferWeight the cost of one worker idle for one second in a pool that is not spare, in
 *     the same unit
 * @param rollOut the host image and how it is rolled out
 */
public record FleetPolicy(double moveWeight, double bufferWeight, RollOut rollOut) {
    /** The key in the configuration's head; no service may have this name. */
    public static final ServiceId KEY = new ServiceId("fleet");

    /** The policy while none is published: moves and idle workers cost little, no image is set. */
    public static final FleetPolicy DEFAULT = new FleetPolicy(1, 0.05, RollOut.NONE);

    /** Checks the ranges. */
    public FleetPolicy {
        Objects.requireNonNull(rollOut);
        if (!(moveWeight >= 0) || !(bufferWeight >= 0)) {
            throw new IllegalArgumentException("weights must not be negative");
        }
    }

    /**
     * A roll-out of a host image.
     *
     * @param image the image that every worker shall have; if empty, each keeps its own
     * @param attempt raised to start again after a wave was stopped
     * @param paused whether no further worker is to be taken
     * @param canaryPercent the share of the workers that get a new image first
     * @param watch how long a worker must serve afterwards before it counts as done
     * @param maxFailures the failed workers with which a wave is stopped
     * @param rebootTimeout the time within which a worker must be back
     */
    public record RollOut(
            Optional<String> image,
            int attempt,
            boolean paused,
            int canaryPercent,
            Duration watch,
            int maxFailures,
            Duration rebootTimeout) {
        /** No image is set; workers are maintained as they become due. */
        public static final RollOut NONE =
                new RollOut(
                        Optional.empty(),
                        0,
                        false,
                        5,
                        Duration.ofSeconds(60),
                        2,
                        Duration.ofMinutes(15));

        /** Checks that no field is missing. */
        public RollOut {
            Objects.requireNonNull(image);
            Objects.requireNonNull(watch);
            Objects.requireNonNull(rebootTimeout);
        }
    }
}
