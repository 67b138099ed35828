package org.crocusgrade.bench.guarantee;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Counts the checked and the violated cases of one guarantee and keeps examples. */
final class CaseCounter {
    private static final int MAX_EXAMPLES = 5;

    private final String name;
    private final List<String> examples = new ArrayList<>();
    private long checked;
    private long violated;

    CaseCounter(String name) {
        this.name = name;
    }

    /** Counts a case; the example describes it if it violates the guarantee. */
    void check(boolean holds, Supplier<String> example) {
        checked++;
        if (holds) {
            return;
        }
        violated++;
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(example.get());
        }
    }

    CheckResult result() {
        return new CheckResult(name, checked, violated, examples);
    }
}
