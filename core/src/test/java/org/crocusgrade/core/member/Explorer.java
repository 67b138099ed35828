package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Model checker: explores all interleavings of a model up to a depth, breadth first, visiting each
 * state once. The search ends at the first breach, so the path to it is a shortest one.
 */
final class Explorer {
    private final Model model;
    private final Set<ModelState.Key> visited = new HashSet<>();
    private final Interner interner = new Interner();

    Explorer(Model model) {
        this.model = model;
    }

    /**
     * Result of a search.
     *
     * @param breach the violated property and the steps that lead to it, if one was found
     * @param states the number of different states visited
     * @param depth the number of steps searched, or the number up to the breach
     */
    record Result(Optional<String> breach, int states, int depth) {}

    Result explore(ModelState start, int depth) {
        List<ModelState> level = List.of(start);
        visited.add(start.key(interner));
        for (int d = 1; d <= depth; d++) {
            List<ModelState> next = new ArrayList<>();
            for (ModelState state : level) {
                for (ModelState each : model.steps(state)) {
                    if (!visited.add(each.key(interner))) {
                        continue;
                    }
                    Optional<String> breach = model.breach(each);
                    if (breach.isPresent()) {
                        return new Result(
                                Optional.of(breach.get() + each.path()), visited.size(), d);
                    }
                    next.add(each);
                }
            }
            level = next;
        }
        return new Result(Optional.empty(), visited.size(), depth);
    }
}
