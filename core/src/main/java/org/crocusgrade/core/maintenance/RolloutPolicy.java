package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What operators publish about maintenance of the whole fleet.
 *
 * @param image the host image that every host shall have; if empty, each host keeps its own
 * @param attempt raised to start again after a wave was stopped
 * @param paused whether no further host is to be taken
 * @param canaryShare the share of the hosts that get a new image first
 * @param watch how long a host must serve after maintenance before it counts as done
 * @param maxFailures the failed hosts with which a wave is stopped
 * @param rebootTimeout the time within which a host must be back
 */
public record RolloutPolicy(
        Optional<String> image,
        int attempt,
        boolean paused,
        double canaryShare,
        Duration watch,
        int maxFailures,
        Duration rebootTimeout) {
    /** No roll-out; hosts are maintained as they become due. */
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
            throw new IllegalArgumentException("a value of the roll-out is out of range");
        }
        if (watch.isNegative() || rebootTimeout.isNegative() || rebootTimeout.isZero()) {
            throw new IllegalArgumentException("a time of the roll-out is out of range");
        }
    }
}
