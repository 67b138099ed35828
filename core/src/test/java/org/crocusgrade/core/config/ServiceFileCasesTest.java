package org.crocusgrade.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs the cases in {@code config/*.case}. A case starts with {@code === name}. A line {@code -
 * text} removes the line with that text from a valid file; a line {@code + text} inserts a line at
 * the position of the last removed one, or at the end; the other lines are the expected report,
 * which must match exactly.
 */
class ServiceFileCasesTest {
    private static final Path CASES = Path.of("src/test/resources/config");
    private static final Path SAMPLES = Path.of("../samples");

    @TestFactory
    Stream<DynamicTest> cases() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        for (Path file : list(CASES, ".case")) {
            for (String part : Files.readString(file).split("(?m)^=== ")) {
                if (!part.isBlank()) {
                    String name = part.lines().findFirst().orElseThrow();
                    tests.add(DynamicTest.dynamicTest(name, () -> run(part)));
                }
            }
        }
        assertThat(tests.size(), greaterThan(10));
        return tests.stream();
    }

    @TestFactory
    Stream<DynamicTest> samplesAreValid() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        for (String deployment : List.of("laineflux", "authority")) {
            List<Path> files = list(SAMPLES.resolve(deployment), ".ini");
            tests.add(
                    DynamicTest.dynamicTest(
                            deployment,
                            () -> {
                                List<FleetRules.NamedService> all = new ArrayList<>();
                                int workers = 0;
                                for (Path f : files) {
                                    if (f.endsWith("fleet.ini")) {
                                        FleetPolicyReader.read(f.toString(), Files.readString(f));
                                        continue;
                                    }
                                    ServiceConfig c =
                                            ServiceFileReader.read(
                                                    f.toString(), Files.readAllBytes(f));
                                    workers += c.capacity().usualWorkers();
                                    all.add(new FleetRules.NamedService(f.toString(), "", c));
                                }
                                assertThat(FleetRules.check(all), equalTo(List.of()));
                                assertThat(all.size(), equalTo(5));
                                assertThat(workers, equalTo(35));
                            }));
        }
        return tests.stream();
    }

    private static void run(String part) {
        List<String> lines =
                new ArrayList<>(ServiceFileSamples.service("lots", 0).lines().toList());
        List<String> expected = new ArrayList<>();
        int at = lines.size();
        for (String line : part.lines().skip(1).toList()) {
            if (line.startsWith("- ")) {
                at = lines.indexOf(line.substring(2));
                lines.remove(at);
            } else if (line.startsWith("+ ")) {
                lines.add(at++, line.substring(2));
            } else if (!line.isBlank()) {
                expected.add(line);
            }
        }
        assertThat(report(String.join("\n", lines)), equalTo(String.join("\n", expected)));
    }

    private static String report(String text) {
        try {
            return "valid " + ServiceFileReader.read("lots.ini", text).service();
        } catch (ConfigException e) {
            return e.problems().stream()
                    .map(p -> p.message().code + " " + p)
                    .collect(Collectors.joining("\n"));
        }
    }

    private static List<Path> list(Path dir, String end) throws IOException {
        try (Stream<Path> found = Files.list(dir)) {
            return found.filter(p -> p.toString().endsWith(end)).sorted().toList();
        }
    }
}
