package org.crocusgrade.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Tests with random and malformed input that every file is either parsed as written or rejected
 * with a bounded report, so that the scan of the lines and the INI library cannot disagree
 * unnoticed.
 */
class MalformedInputTest {
    private static final int MAX_REPORT_CHARS = 20_000;

    @Property(tries = 500, seed = "11")
    void anyBytesAreParsedOrRejected(@ForAll @Size(max = 2000) byte[] content) {
        read(content);
    }

    @Property(tries = 1000, seed = "12")
    void anyLinesAreParsedOrRejected(@ForAll("lines") List<String> lines) {
        read(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Changes one character of a valid file: the values read must be those in the text, or the file
     * is rejected. Guards against text that the INI library interprets, such as quotes or escapes.
     */
    @Property(tries = 2000, seed = "13")
    void valuesMatchTheTextAfterOneChangedCharacter(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) throws Exception {
        Random random = new Random(seed);
        String valid = ServiceFileSamples.service("lots", 0);
        int at = random.nextInt(valid.length());
        char c = (char) random.nextInt(random.nextBoolean() ? 128 : 0xD800);
        String text = valid.substring(0, at) + c + valid.substring(at + 1);
        if (read(text.getBytes(StandardCharsets.UTF_8))) {
            Map<String, String> values = new TreeMap<>();
            text.lines().filter(l -> l.contains("=")).forEach(l -> put(values, l));
            Map<String, String> parsed = new TreeMap<>();
            IniDocument.read(text.getBytes(StandardCharsets.UTF_8), new Problems("f"))
                    .values()
                    .forEach((k, v) -> parsed.put(k.replaceFirst("\\[.*\\] ", ""), v));
            assertThat(parsed, is(values));
        }
    }

    @Property(tries = 20, seed = "14")
    void largeFilesAreRejected(@ForAll @IntRange(min = 1, max = 4) int times) {
        byte[] content = ("#".repeat(times * ServiceFileReader.MAX_FILE_BYTES) + "\n").getBytes();
        assertThat(read(content), is(false));
    }

    @Property(tries = 500, seed = "15")
    void anyHeadIsDecodedOrRejected(@ForAll @Size(max = 500) byte[] json) {
        try {
            ConfigHeadCodec.read(json);
        } catch (ConfigException e) {
            assertThat(e.getMessage().length(), lessThan(MAX_REPORT_CHARS));
        }
    }

    @Provide
    Arbitrary<List<String>> lines() {
        String[] valid = ServiceFileSamples.service("lots", 0).split("\n");
        Arbitrary<String> line =
                Arbitraries.oneOf(
                        Arbitraries.of(valid),
                        Arbitraries.of("[paths]", "[", "=", "a=b\\", "key = \"x", "* / = x", "  ["),
                        Arbitraries.strings().withCharRange('\u0001', '\u00ff').ofMaxLength(40));
        return line.list().ofMaxSize(40);
    }

    /** Adds the value of a line, without a trailing comment, as the INI library parses it. */
    private static void put(Map<String, String> values, String line) {
        String[] parts = line.split("=", 2);
        if (!line.strip().startsWith("#") && !line.strip().startsWith(";")) {
            values.put(parts[0].strip(), parts[1].replaceFirst("\\s[;#].*", "").strip());
        }
    }

    private static boolean read(byte[] content) {
        try {
            ServiceFileReader.read("f", content);
            return true;
        } catch (ConfigException e) {
            assertThat(e.problems().isEmpty(), is(false));
            assertThat(e.getMessage().length(), lessThan(MAX_REPORT_CHARS));
            return false;
        }
    }
}
