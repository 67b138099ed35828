package org.crocusgrade.bench.guarantee;

import java.util.List;
import java.util.Objects;

/**
 * The result of checking one guarantee.
 *
 * @param name the name of the guarantee in reports
 * @param checked how many cases were checked
 * @param violated in how many of them the guarantee did not hold
 * @param examples descriptions of the first violated cases
 */
public record CheckResult(String name, long checked, long violated, List<String> examples) {
    /** Checks the fields. */
    public CheckResult {
        Objects.requireNonNull(name);
        examples = List.copyOf(examples);
    }
}
