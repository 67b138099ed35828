package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Replays every session file {@code dispatch/*.case} and compares the whole file. */
class SessionCasesTest {
    @TestFactory
    List<DynamicTest> sessions() throws IOException, URISyntaxException {
        Path dir = Path.of(SessionCasesTest.class.getResource("/dispatch").toURI());
        List<Path> files;
        try (Stream<Path> found = Files.list(dir)) {
            files = found.filter(p -> p.toString().endsWith(".case")).sorted().toList();
        }
        assertThat(files, is(not(empty())));
        return files.stream()
                .map(p -> DynamicTest.dynamicTest(p.getFileName().toString(), () -> check(p)))
                .collect(Collectors.toList());
    }

    private static void check(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        String replayed = SessionCase.replay(lines);
        assertThat(replayed, is(String.join("\n", lines) + "\n"));
    }
}
