package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the callers' documentation lists every reason with its outcome, status and text. */
class ReasonPageTest {
    private static final Path PAGE = Path.of("../docs/CALLERS.md");

    @ParameterizedTest
    @EnumSource(Reason.class)
    void pageListsReason(Reason reason) throws IOException {
        String status = reason == Reason.OK ? "the worker's" : Integer.toString(reason.status);
        String row =
                String.format(
                        "| `%s` | `%s` | %s | %s |",
                        reason.code, reason.outcome.word, status, reason.text);
        assertThat(Files.readString(PAGE), containsString(row));
    }
}
