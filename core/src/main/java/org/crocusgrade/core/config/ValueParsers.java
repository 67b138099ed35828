package org.crocusgrade.core.config;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocusgrade.core.misc.Addresses;

/** Parsers of the values in service files, settings and command-line options. */
public final class ValueParsers {
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,6})?");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,12})([A-Za-z]{0,3})");
    private static final Pattern HEX = Pattern.compile("(?:[0-9A-Fa-f]{2})+");

    private static final Map<String, Duration> TIME_UNITS = new LinkedHashMap<>();
    private static final Map<String, Long> SIZE_UNITS = new LinkedHashMap<>();

    static {
        TIME_UNITS.put("ms", Duration.ofMillis(1));
        TIME_UNITS.put("s", Duration.ofSeconds(1));
        TIME_UNITS.put("min", Duration.ofMinutes(1));
        TIME_UNITS.put("h", Duration.ofHours(1));
        TIME_UNITS.put("d", Duration.ofDays(1));
        SIZE_UNITS.put("B", 1L);
        SIZE_UNITS.put("KiB", 1L << 10);
        SIZE_UNITS.put("MiB", 1L << 20);
        SIZE_UNITS.put("GiB", 1L << 30);
        SIZE_UNITS.put("TiB", 1L << 40);
    }

    private ValueParsers() {}

    private record FunctionParser<T>(String accepted, ParseFunction<T> parser)
            implements ValueParser<T> {
        @Override
        public T parse(String text) throws ValueException {
            return parser.parse(text);
        }
    }

    private record SecretParser(int minBytes, int maxBytes) implements ValueParser<byte[]> {
        @Override
        public byte[] parse(String text) throws ValueException {
            if (!HEX.matcher(text).matches()) {
                throw new ValueException(ConfigMessage.BAD_VALUE);
            }
            if (text.length() < 2 * minBytes || text.length() > 2 * maxBytes) {
                throw new ValueException(ConfigMessage.OUT_OF_RANGE);
            }
            return HexFormat.of().parseHex(text);
        }

        @Override
        public String accepted() {
            return "%d to %d hexadecimal digits".formatted(2 * minBytes, 2 * maxBytes);
        }

        @Override
        public String shown(String text) {
            return "***";
        }
    }

    private interface ParseFunction<T> {
        T parse(String text) throws ValueException;
    }

    /** Returns a parser of whole numbers from min to max. */
    public static ValueParser<Integer> integer(int min, int max) {
        return new FunctionParser<>(
                "a whole number from " + min + " to " + max,
                text -> {
                    if (!NUMBER.matcher(text).matches()) {
                        throw new ValueException(ConfigMessage.BAD_VALUE);
                    }
                    long value = Long.parseLong(text);
                    if (value < min || value > max) {
                        throw new ValueException(ConfigMessage.OUT_OF_RANGE);
                    }
                    return (int) value;
                });
    }

    /** Returns a parser of numbers from min to max, with up to 6 decimals. */
    public static ValueParser<Double> decimal(double min, double max) {
        return new FunctionParser<>(
                "a number from %.0f to %.0f, such as 0.25".formatted(min, max),
                text -> {
                    if (!DECIMAL.matcher(text).matches()) {
                        throw new ValueException(ConfigMessage.BAD_VALUE);
                    }
                    double value = Double.parseDouble(text);
                    if (value < min || value > max) {
                        throw new ValueException(ConfigMessage.OUT_OF_RANGE);
                    }
                    return value;
                });
    }

    /** Returns a parser of durations from min to max; the unit is required. */
    public static ValueParser<Duration> duration(Duration min, Duration max) {
        String accepted =
                "a duration from %s to %s with its unit (%s)"
                        .formatted(show(min), show(max), String.join(", ", TIME_UNITS.keySet()));
        return new FunctionParser<>(
                accepted,
                text -> {
                    Matcher m = quantity(text);
                    Duration unit = TIME_UNITS.get(m.group(2));
                    if (unit == null) {
                        throw new ValueException(ConfigMessage.WRONG_UNIT);
                    }
                    Duration value = unit.multipliedBy(Long.parseLong(m.group(1)));
                    if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
                        throw new ValueException(ConfigMessage.OUT_OF_RANGE);
                    }
                    return value;
                });
    }

    /** Returns a parser of sizes from min to max, in bytes; the unit is required. */
    public static ValueParser<Long> size(long min, long max) {
        String accepted =
                "a size from %s to %s with its unit (%s)"
                        .formatted(
                                showSize(min),
                                showSize(max),
                                String.join(", ", SIZE_UNITS.keySet()));
        return new FunctionParser<>(
                accepted,
                text -> {
                    Matcher m = quantity(text);
                    Long unit = SIZE_UNITS.get(m.group(2));
                    if (unit == null) {
                        throw new ValueException(ConfigMessage.WRONG_UNIT);
                    }
                    long count = Long.parseLong(m.group(1));
                    if (count > max / unit || count * unit < min) {
                        throw new ValueException(ConfigMessage.OUT_OF_RANGE);
                    }
                    return count * unit;
                });
    }

    /** Returns a parser that accepts the keys of a map and returns the mapped values. */
    public static <T> ValueParser<T> word(Map<String, T> words) {
        Map<String, T> copy = new LinkedHashMap<>(words);
        return new FunctionParser<>(
                String.join(" or ", copy.keySet()),
                text -> {
                    T value = copy.get(text);
                    if (value == null) {
                        throw new ValueException(ConfigMessage.BAD_VALUE);
                    }
                    return value;
                });
    }

    /** Returns a parser of {@code yes} and {@code no}. */
    public static ValueParser<Boolean> yesNo() {
        Map<String, Boolean> words = new LinkedHashMap<>();
        words.put("yes", true);
        words.put("no", false);
        return word(words);
    }

    /**
     * Returns a parser of ids.
     *
     * @param type makes the id, and throws IllegalArgumentException if the text is not a valid name
     */
    public static <T> ValueParser<T> id(Function<String, T> type) {
        return new FunctionParser<>(
                "a name of 1 to 128 letters, digits, dots, dashes or underscores",
                text -> {
                    try {
                        return type.apply(text);
                    } catch (IllegalArgumentException e) {
                        throw new ValueException(ConfigMessage.BAD_VALUE);
                    }
                });
    }

    /** Returns a parser of lists of up to max values, separated by commas. */
    public static <T> ValueParser<List<T>> list(ValueParser<T> each, int max) {
        return new FunctionParser<>(
                "up to " + max + " with commas between them, each " + each.accepted(),
                text -> {
                    String[] parts = text.split(",", -1);
                    if (parts.length > max) {
                        throw new ValueException(ConfigMessage.OUT_OF_RANGE);
                    }
                    List<T> values = new ArrayList<>();
                    for (String part : parts) {
                        values.add(each.parse(part.strip()));
                    }
                    return List.copyOf(values);
                });
    }

    /** Returns a parser of an IP address with a port; host names are not resolved. */
    public static ValueParser<InetSocketAddress> address() {
        return new FunctionParser<>(
                "an IP number and port, such as 10.0.0.1:7400", ValueParsers::socket);
    }

    /**
     * Returns a parser of a secret of minBytes to maxBytes bytes in hexadecimal; messages never
     * quote its value.
     */
    public static ValueParser<byte[]> secret(int minBytes, int maxBytes) {
        return new SecretParser(minBytes, maxBytes);
    }

    /** Formats a duration as in a file, in the largest unit that divides it. */
    public static String show(Duration value) {
        String text = value.toMillis() + "ms";
        if (value.isZero()) {
            return text;
        }
        for (Map.Entry<String, Duration> unit : TIME_UNITS.entrySet()) {
            long millis = unit.getValue().toMillis();
            if (value.toMillis() % millis == 0) {
                text = value.toMillis() / millis + unit.getKey();
            }
        }
        return text;
    }

    /** Formats a size as in a file, in the largest unit that divides it. */
    public static String showSize(long bytes) {
        String text = bytes + "B";
        if (bytes == 0) {
            return text;
        }
        for (Map.Entry<String, Long> unit : SIZE_UNITS.entrySet()) {
            if (bytes % unit.getValue() == 0) {
                text = bytes / unit.getValue() + unit.getKey();
            }
        }
        return text;
    }

    private static Matcher quantity(String text) throws ValueException {
        Matcher m = QUANTITY.matcher(text);
        if (!m.matches()) {
            throw new ValueException(ConfigMessage.BAD_VALUE);
        }
        return m;
    }

    private static InetSocketAddress socket(String text) throws ValueException {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ValueException(ConfigMessage.BAD_VALUE);
        }
    }
}
