package org.crocusgrade.standin.hosts;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Objects;

/**
 * Faults injected into the stand-in host list.
 *
 * @param down connections are closed before their calls take effect
 * @param lag age of the list that readers get
 * @param loseAnswers reboot requests take effect, but the connection is closed without an answer
 */
public record HostFaults(boolean down, Duration lag, boolean loseAnswers) {
    /** Checks the fields. */
    public HostFaults {
        Objects.requireNonNull(lag);
        if (lag.isNegative()) {
            throw new IllegalArgumentException("host list lag must not be negative");
        }
    }

    /** Returns faults that consist of a lag alone. */
    public static HostFaults lagging(Duration lag) {
        return new HostFaults(false, lag, false);
    }

    /** Reads the faults from the control endpoint's JSON; absent fields mean no fault. */
    public static HostFaults fromJson(JsonObject json) {
        return new HostFaults(
                json.getBoolean("down", false),
                Duration.ofMillis(json.getLong("lagMs", 0L)),
                json.getBoolean("loseAnswers", false));
    }
}
