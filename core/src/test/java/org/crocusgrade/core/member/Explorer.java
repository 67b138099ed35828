package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Explores all interleavings of a model to a depth, breadth first, never a state twice. The first
 * breach ends it, so its path is a shortest one.
 */
final class Explorer {
    private final Model model;
    private final Set<ModelState.Key> seen = new HashSet<>();
    private final Interner interner = new Interner();

    Explorer(Model model) {
        this.model = model;
    }

    /** What an exploration found. */
    record Result(Optional<String> breach, int states, int depth) {}

    Result explore(ModelState start, int depth) {
        List<ModelState> level = List.of(start);
        seen.add(start.key(interner));
        for (int d = 1; d <= depth; d++) {
            List<ModelState> next = new ArrayList<>();
            for (ModelState state : level) {
                for (ModelState each : model.steps(state)) {
                    if (!seen.add(each.key(interner))) {
                        continue;
                    }
                    Optional<String> breach = model.breach(each);
                    if (breach.isPresent()) {
                        return new Result(Optional.of(breach.get() + each.path()), seen.size(), d);
                    }
                    next.add(each);
                }
            }
            level = next;
        }
        return new Result(Optional.empty(), seen.size(), depth);
    }
}
