package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The callers' page says of each reason what the code says. */
class ReasonPageTest {
    private static final Path PAGE = Path.of("../docs/CALLERS.md");

    @ParameterizedTest
    @EnumSource(Reason.class)
    void thePageHasTheReason(Reason reason) throws IOException {
        String status = reason == Reason.OK ? "the worker's" : Integer.toString(reason.status);
        String row =
                String.format(
                        "| `%s` | `%s` | %s | %s |",
                        reason.code, reason.outcome.word, status, reason.text);
        assertThat(Files.readString(PAGE), containsString(row));
    }
}
