package org.crocusgrade.core.id;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class IdsTest {
    @Property(tries = 100, seed = "1")
    void lettersAreAccepted(@ForAll @AlphaChars @StringLength(min = 1, max = 128) String text) {
        assertThat(new WorkerId(text).value(), is(text));
    }

    /** Guards against boot ids from a clock, which another process may have read alike. */
    @Test
    void processesThatStartAtTheSameTimeHaveDistinctBootIds() {
        int processes = 10_000;
        Set<BootId> ids = new HashSet<>();
        for (int i = 0; i < processes; i++) {
            ids.add(BootId.random());
        }
        assertThat(ids.size(), is(processes));
    }

    @Test
    void keyWithSpaceIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new IdempotencyKey("a b"));
    }
}
