package org.crocusgrade.bench.promise;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Counts the cases of one promise. */
final class Tally {
    private static final int MAX_EXAMPLES = 5;

    private final String name;
    private final List<String> examples = new ArrayList<>();
    private long checked;
    private long broken;

    Tally(String name) {
        this.name = name;
    }

    /** Counts a case, with what to say if it broke the promise. */
    void check(boolean held, Supplier<String> example) {
        checked++;
        if (held) {
            return;
        }
        broken++;
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(example.get());
        }
    }

    Verdict verdict() {
        return new Verdict(name, checked, broken, examples);
    }
}
