package org.crocusgrade.standin.platform;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Objects;

/**
 * Faults injected into the stand-in key-value service.
 *
 * @param down connections are closed before their calls take effect
 * @param stall calls are accepted, but never answered, and take no effect
 * @param delay time that each call waits before it takes effect
 * @param loseAnswersPercent percentage of the writes that take effect, but whose connection is
 *     closed without an answer
 */
public record PlatformFaults(boolean down, boolean stall, Duration delay, int loseAnswersPercent) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, false, Duration.ZERO, 0);

    /** Checks the fields. */
    public PlatformFaults {
        Objects.requireNonNull(delay);
        if (delay.isNegative() || loseAnswersPercent < 0 || loseAnswersPercent > 100) {
            throw new IllegalArgumentException("delay or percentage is out of range");
        }
    }

    /** Reads the faults from the control endpoint's JSON; absent fields mean no fault. */
    public static PlatformFaults fromJson(JsonObject json) {
        return new PlatformFaults(
                json.getBoolean("down", false),
                json.getBoolean("stall", false),
                Duration.ofMillis(json.getLong("delayMs", 0L)),
                json.getInteger("loseAnswersPercent", 0));
    }
}
