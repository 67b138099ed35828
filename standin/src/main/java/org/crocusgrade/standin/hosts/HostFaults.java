package org.crocusgrade.standin.hosts;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Objects;

/**
 * How the stand-in host list fails.
 *
 * @param down every connection is closed before its call takes effect
 * @param lag how old the list is that a reader gets
 * @param loseAnswers reboots are carried out and not answered
 */
public record HostFaults(boolean down, Duration lag, boolean loseAnswers) {
    /** Checks the fields. */
    public HostFaults {
        Objects.requireNonNull(lag);
        if (lag.isNegative()) {
            throw new IllegalArgumentException("lag must not be below 0");
        }
    }

    /** Returns a list that only lags. */
    public static HostFaults lagging(Duration lag) {
        return new HostFaults(false, lag, false);
    }

    /** Reads the faults from the control endpoint's JSON; what is absent is no fault. */
    public static HostFaults fromJson(JsonObject json) {
        return new HostFaults(
                json.getBoolean("down", false),
                Duration.ofMillis(json.getLong("lagMs", 0L)),
                json.getBoolean("loseAnswers", false));
    }
}
