package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Operators' policy for maintenance and image roll-outs of the whole fleet.
 *
 * @param image the image that every host must have; if empty, each host keeps its own
 * @param attempt raised by operators to start a new wave after one was stopped
 * @param paused whether the maintenance of further hosts is suspended
 * @param canaryShare share of all hosts that get a new image before the others, from 0 to 1
 * @param watch how long a host must serve after its reboot before it counts as done
 * @param maxFailures number of failed hosts at which a wave is stopped, at least 1
 * @param rebootTimeout time within which a host must be back after its reboot was requested or,
 *     once it was observed down, after that
 */
public record RolloutPolicy(
        Optional<String> image,
        int attempt,
        boolean paused,
        double canaryShare,
        Duration watch,
        int maxFailures,
        Duration rebootTimeout) {
    /** No image roll-out; hosts are maintained as they become due. */
    public static final RolloutPolicy DEFAULT =
            new RolloutPolicy(
                    Optional.empty(),
                    0,
                    false,
                    0.05,
                    Duration.ofSeconds(60),
                    2,
                    Duration.ofMinutes(15));

    /** Checks the ranges. */
    public RolloutPolicy {
        Objects.requireNonNull(image);
        Objects.requireNonNull(watch);
        Objects.requireNonNull(rebootTimeout);
        if (attempt < 0 || maxFailures < 1 || !(canaryShare >= 0 && canaryShare <= 1)) {
            throw new IllegalArgumentException(
                    "attempt, maxFailures or canaryShare of the roll-out policy is out of range");
        }
        if (watch.isNegative() || rebootTimeout.isNegative() || rebootTimeout.isZero()) {
            throw new IllegalArgumentException(
                    "watch or rebootTimeout of the roll-out policy is out of range");
        }
    }
}
