package org.crocusgrade.core.config;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;
import org.crocusgrade.core.config.FleetPolicy.RollOut;
import org.crocusgrade.core.misc.Names;

/**
 * Reads the fleet policy from an INI file with the sections {@code [fleet]} and {@code [roll-out]}.
 */
public final class FleetPolicyReader {
    private static final Pattern FLEET_SECTION = Pattern.compile("(?m)^\\s*\\[fleet]\\s*$");
    private static final String FLEET = "fleet";
    private static final String ROLL_OUT = "roll-out";
    private static final double MAX_WEIGHT = 1_000_000;
    private static final int MAX_ATTEMPT = 1_000_000;
    private static final int MAX_FAILURES = 10_000;

    private final IniDocument doc;
    private final Problems problems;

    private FleetPolicyReader(IniDocument doc, Problems problems) {
        this.doc = doc;
        this.problems = problems;
    }

    /**
     * Returns whether a file is a fleet policy, recognized by its {@code [fleet]} section, and not
     * a service file.
     */
    public static boolean isPolicy(String text) {
        return FLEET_SECTION.matcher(text).find();
    }

    /** Parses a file's text; the exception carries every problem found. */
    public static FleetPolicy read(String file, String text) throws ConfigException {
        Problems problems = new Problems(file);
        IniDocument doc = IniDocument.read(text.getBytes(StandardCharsets.UTF_8), problems);
        return new FleetPolicyReader(doc, problems).readAll();
    }

    private FleetPolicy readAll() throws ConfigException {
        ValueParser<Double> weight = ValueParsers.decimal(0, MAX_WEIGHT);
        Double move = doc.required(FLEET, "move-weight", weight, problems);
        Double buffer = doc.required(FLEET, "buffer-weight", weight, problems);
        RollOut rollOut = rollOut();
        doc.rejectUnknown(problems);
        problems.check();
        return new FleetPolicy(move, buffer, rollOut);
    }

    private RollOut rollOut() {
        RollOut d = RollOut.NONE;
        Optional<String> image =
                Optional.ofNullable(
                        optional(
                                "image",
                                ValueParsers.id(text -> Names.requireName("image", text)),
                                null));
        Integer attempt = optional("attempt", ValueParsers.integer(0, MAX_ATTEMPT), d.attempt());
        Boolean paused = optional("paused", ValueParsers.yesNo(), d.paused());
        Integer canary =
                optional("canary-percent", ValueParsers.integer(0, 100), d.canaryPercent());
        Duration watch =
                optional(
                        "watch",
                        ValueParsers.duration(Duration.ZERO, Duration.ofDays(1)),
                        d.watch());
        Integer failures =
                optional("max-failures", ValueParsers.integer(1, MAX_FAILURES), d.maxFailures());
        Duration reboot =
                optional(
                        "reboot-timeout",
                        ValueParsers.duration(Duration.ofSeconds(1), Duration.ofDays(1)),
                        d.rebootTimeout());
        if (attempt == null
                || paused == null
                || canary == null
                || watch == null
                || failures == null
                || reboot == null) {
            return d;
        }
        return new RollOut(image, attempt, paused, canary, watch, failures, reboot);
    }

    private <T> T optional(String key, ValueParser<T> parser, T defaultValue) {
        return doc.optional(ROLL_OUT, key, parser, defaultValue, problems);
    }
}
