package org.crocusgrade.bench.promise;

import java.util.List;
import java.util.Objects;

/**
 * What the check of one promise found.
 *
 * @param name the promise
 * @param checked how many cases were checked
 * @param broken in how many the promise did not hold
 * @param examples the first of those, for people
 */
public record Verdict(String name, long checked, long broken, List<String> examples) {
    /** Checks the fields. */
    public Verdict {
        Objects.requireNonNull(name);
        examples = List.copyOf(examples);
    }
}
