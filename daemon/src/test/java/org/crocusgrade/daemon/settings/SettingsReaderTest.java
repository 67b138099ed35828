package org.crocusgrade.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.crocusgrade.core.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Settings files: the samples are valid, and errors are reported with file, line and accepted
 * values.
 */
class SettingsReaderTest {
    private static final Path SAMPLES = Path.of("../samples");

    @Test
    void samplesAreValid() throws Exception {
        for (String deployment : List.of("laineflux", "authority")) {
            Settings s = SettingsReader.read(SAMPLES.resolve(deployment + "/daemon.settings"));
            assertThat(s.listen().operators().getPort(), is(8081));
            assertThat(s.bounds(), equalTo(Settings.Bounds.DEFAULT));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "zone = rennes|zone = |f:5: cannot read 'zone ='; accepted: [section], key = value,"
                        + " or a comment after # or ;",
                "threads = 2|threads = 0|f:7: [daemon] threads: '0' is out of range; accepted: a"
                        + " whole number from 1 to 256",
                "threads = 2|thread = 2|f:7: [daemon]: unknown key 'thread'; accepted: id, region,"
                        + " zone, threads, log-level",
                "callers = 127.0.1.1:8080|callers = localhost:8080|f:10: [listen] callers:"
                        + " 'localhost:8080' is not valid; accepted: an IP number and port, such as"
                        + " 10.0.0.1:7400",
                "operators = 127.0.1.1:8081|operators = 127.0.1.1:8080|f:11: [listen] operators:"
                        + " operators has the address of callers; accepted: an address of its own",
                "service = 127.0.0.1:7400|service = 127.0.0.1:70000|f:15: [platform] service:"
                        + " '127.0.0.1:70000' is not valid; accepted: an IP number and port,"
                        + " such as 10.0.0.1:7400",
                "max-body = 1MiB|max-body = 1048576|f:23: [bounds] max-body: '1048576' does not"
                        + " have the right unit; accepted: a size from 1KiB to 64MiB with its unit"
                        + " (B, KiB, MiB, GiB, TiB)",
                "key = 00112233445566778899aabbccddeeff0011|key = 0011|f:20: [peers] key:"
                        + " '***' is out of range; accepted: 32 to 128 hexadecimal digits",
            })
    void errorsAreReportedWithTheirLines(String valid, String invalid, String message)
            throws Exception {
        String text = Files.readString(SAMPLES.resolve("laineflux/daemon.settings"));
        String changed = text.replaceAll("(?m)^" + valid + ".*$", invalid.strip());
        ConfigException e =
                assertThrows(ConfigException.class, () -> SettingsReader.read("f", changed));
        assertThat(e.getMessage(), equalTo(message));
    }
}
