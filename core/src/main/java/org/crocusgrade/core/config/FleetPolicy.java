package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * The settings that operators publish for the whole fleet, in a file beside those of the services.
 *
 * @param moveWeight the cost of moving one worker, in slot-seconds of waiting demand
 * @param bufferWeight the cost of one worker that is idle for one second in a pool that is not
 *     spare, in the same unit
 * @param rollOut the host image and how it is rolled out
 */
public record FleetPolicy(double moveWeight, double bufferWeight, RollOut rollOut) {
    /**
     * The key of the policy's file in {@link ConfigHead#services}; no service may have this name.
     */
    public static final ServiceId KEY = new ServiceId("fleet");

    /**
     * The policy used until one is published: moves and idle workers cost little, no image is set.
     */
    public static final FleetPolicy DEFAULT = new FleetPolicy(1, 0.05, RollOut.NONE);

    /** Throws IllegalArgumentException if a weight is negative or not a number. */
    public FleetPolicy {
        Objects.requireNonNull(rollOut);
        if (!(moveWeight >= 0) || !(bufferWeight >= 0)) {
            throw new IllegalArgumentException("moveWeight and bufferWeight must not be negative");
        }
    }

    /**
     * A roll-out of a host image.
     *
     * @param image the image to install on every worker; if empty, each keeps its own
     * @param attempt increased by the operator to start again after a wave was stopped
     * @param paused whether no further worker is taken out of service
     * @param canaryPercent the share of the workers that get a new image first, in percent
     * @param watch how long a worker must serve with the image before its update counts as
     *     successful
     * @param maxFailures the number of failed workers at which a wave is stopped
     * @param rebootTimeout the time within which a worker must serve again after a reboot
     */
    public record RollOut(
            Optional<String> image,
            int attempt,
            boolean paused,
            int canaryPercent,
            Duration watch,
            int maxFailures,
            Duration rebootTimeout) {
        /**
         * The default: no image is set, and workers are maintained when their maintenance is due.
         */
        public static final RollOut NONE =
                new RollOut(
                        Optional.empty(),
                        0,
                        false,
                        5,
                        Duration.ofSeconds(60),
                        2,
                        Duration.ofMinutes(15));

        /** Throws NullPointerException if a field is null. */
        public RollOut {
            Objects.requireNonNull(image);
            Objects.requireNonNull(watch);
            Objects.requireNonNull(rebootTimeout);
        }
    }
}
