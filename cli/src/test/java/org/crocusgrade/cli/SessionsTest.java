package org.crocusgrade.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import io.vertx.mutiny.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.standin.PlatformServer;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs the command-line sessions in {@code sessions/*.session} against the stand-in of the
 * platform. A line {@code $ command} is run, and its output and exit code must equal the lines that
 * follow it. Ids, times and addresses are replaced by placeholders. {@code % down} and {@code % up}
 * make the platform fail and recover; {@code % fleet} writes the records of {@link SampleFleet} to
 * it.
 */
class SessionsTest {
    private static final Path SESSIONS = Path.of("src/test/resources/sessions");
    private static Vertx vertx;

    @BeforeAll
    static void start() {
        vertx = Vertx.vertx();
    }

    @AfterAll
    static void stop() {
        vertx.closeAndAwait();
    }

    @TestFactory
    Stream<DynamicTest> sessions() throws IOException {
        List<Path> files;
        try (Stream<Path> found = Files.list(SESSIONS)) {
            files = found.filter(f -> f.toString().endsWith(".session")).sorted().toList();
        }
        assertThat(files.size(), greaterThan(0));
        return files.stream()
                .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> runSession(f)));
    }

    private static void runSession(Path file) throws IOException {
        PlatformServer server = new PlatformServer(Clock.system(), 1);
        InetSocketAddress address = server.start(vertx, "127.0.0.1", 0).await().indefinitely();
        String platform = Addresses.format(address);
        List<String> transcript = new ArrayList<>();
        try {
            boolean output = false;
            for (String line : Files.readAllLines(file)) {
                if (output) {
                    output = !line.startsWith("[exit ");
                    continue;
                }
                output = line.startsWith("$ ");
                if (line.startsWith("#") || line.isEmpty()) {
                    transcript.add(line);
                } else if (line.equals("% fleet")) {
                    transcript.add(line);
                    HttpKeyValueStore store =
                            new HttpKeyValueStore(vertx, address, Duration.ofSeconds(5));
                    SampleFleet.write(store, vertx);
                    store.close();
                } else if (line.startsWith("% ")) {
                    transcript.add(line);
                    server.setFaults(
                            new PlatformFaults(line.equals("% down"), false, Duration.ZERO, 0));
                } else if (line.startsWith("$ ")) {
                    transcript.add(line);
                    transcript.addAll(run(line.substring(2), platform));
                }
            }
        } finally {
            server.stop().await().indefinitely();
        }
        assertThat(
                String.join("\n", transcript),
                equalTo(String.join("\n", Files.readAllLines(file))));
    }

    private static List<String> run(String command, String platform) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        Main main =
                new Main(
                        Commands.ALL,
                        out,
                        out,
                        name -> name.equals(CommonOptions.PLATFORM_VARIABLE) ? platform : null,
                        HttpPlatformAccess::new);
        String[] words = command.split(" ");
        ExitCode code = main.run(java.util.Arrays.copyOfRange(words, 1, words.length));
        List<String> lines = new ArrayList<>();
        bytes.toString(StandardCharsets.UTF_8).lines().forEach(l -> lines.add(mask(l, platform)));
        lines.add("[exit " + code.code + "]");
        return lines;
    }

    private static String mask(String line, String platform) {
        return line.replace(platform, "PLATFORM")
                .replace("\t", "  ")
                .replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "PUBLISH-ID")
                .replaceAll("[0-9-]{10}T[0-9:.]+Z", "TIME")
                .replaceAll("TIME +", "TIME ")
                .replaceAll("AT {10,}", "AT ")
                .replaceAll("after [0-9]\\.[0-9] s", "after N s")
                .replaceAll("\"seconds\" : [0-9.E-]+", "\"seconds\" : N");
    }
}
