package org.crocusgrade.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import org.crocusgrade.core.dispatch.Reason;
import org.junit.jupiter.api.Test;

/**
 * Tests that every reason code has advice, and that {@code docs/OPERATING.md} lists it with the
 * same text.
 */
class AdviceTest {
    @Test
    void everyReasonHasAdvice() throws Exception {
        String page = Files.readString(Path.of("../docs/OPERATING.md"));
        for (Reason reason : Reason.values()) {
            assertThat(reason.code, Advice.of(reason.code).isPresent(), is(true));
            assertThat(page, containsString("| `" + reason.code + "`"));
            assertThat(page, containsString(Advice.of(reason.code).orElseThrow().text + " |"));
        }
    }
}
