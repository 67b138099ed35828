package org.crocusgrade.standin.platform;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Objects;

/**
 * How the stand-in platform fails.
 *
 * @param down every connection is closed before its call takes effect
 * @param stall calls are taken and never answered, and take no effect
 * @param delay how long each call waits before it takes effect
 * @param loseAnswersPercent of the writes, how many take effect and are not answered
 */
public record PlatformFaults(boolean down, boolean stall, Duration delay, int loseAnswersPercent) {
    /** No fault. */
    public static final PlatformFaults NONE = new PlatformFaults(false, false, Duration.ZERO, 0);

    /** Checks the fields. */
    public PlatformFaults {
        Objects.requireNonNull(delay);
        if (delay.isNegative() || loseAnswersPercent < 0 || loseAnswersPercent > 100) {
            throw new IllegalArgumentException("delay or percentage is out of range");
        }
    }

    /** Reads the faults from the control endpoint's JSON; what is absent is no fault. */
    public static PlatformFaults fromJson(JsonObject json) {
        return new PlatformFaults(
                json.getBoolean("down", false),
                json.getBoolean("stall", false),
                Duration.ofMillis(json.getLong("delayMs", 0L)),
                json.getInteger("loseAnswersPercent", 0));
    }
}
